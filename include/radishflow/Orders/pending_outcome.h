// Declares pending_outcome, the outcome of an order that is still to be written to the table.
#pragma once

#include "radishflow/Orders/claim_state.h"
#include "radishflow/Orders/order_claim.h"
#include "radishflow/Orders/stored_response.h"

namespace radishflow {

struct pending_outcome {
    order_claim claim; ///< The ended claim. Its revision is 0 when it is not known whether its row was inserted.
    claim_state state = claim_state::Unknown;
    stored_response response {}; ///< Only when Done.
};

} // namespace radishflow
