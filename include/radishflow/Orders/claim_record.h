// Declares claim_record, the row of the table that fences one order.
#pragma once

#include "radishflow/Orders/claim_state.h"
#include "radishflow/Orders/order.h"
#include "radishflow/Orders/stored_response.h"
#include "radishflow/Support/result.h"

#include <string>

namespace radishflow {

struct claim_record {
    claim_state state = claim_state::Claimed;
    attempt_id attempt; ///< Of the daemon that inserted the row.
    daemon_id holder;
    incarnation_number incarnation;
    std::uint64_t fingerprint = 0;
    stored_response response; ///< Empty unless Done.

    friend bool operator==(const claim_record&, const claim_record&) = default;
};

/// Returns the row's key; a range read of it as a prefix finds no other claim.
std::string claimRowKey(const order&);

std::string encode(const claim_record&);

/// Fails with failure_code::Broken when the value is not one that encode returns.
result<claim_record> decodeClaimRecord(const std::string& value);

} // namespace radishflow
