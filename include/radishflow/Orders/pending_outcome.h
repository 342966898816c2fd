// Declares pending_outcome, how an order ended where the table doesn't say so yet.
#pragma once

#include "radishflow/Orders/claim_state.h"
#include "radishflow/Orders/order_claim.h"
#include "radishflow/Orders/stored_response.h"

namespace radishflow {

struct pending_outcome {
    order_claim claim; ///< Ended. Its revision is 0 when the claim itself was not settled.
    claim_state state = claim_state::Unknown;
    stored_response response {}; ///< Only when Done.
};

} // namespace radishflow
