// Declares claim_record, the table row that fences one order against a second execution.
#pragma once

#include "radishflow/Orders/claim_state.h"
#include "radishflow/Orders/order.h"
#include "radishflow/Orders/stored_response.h"
#include "radishflow/Support/result.h"

#include <string>

namespace radishflow {

struct claim_record {
    claim_state state = claim_state::Claimed;
    attempt_id attempt; ///< The claim attempt that inserted the row.
    daemon_id holder;
    incarnation_number incarnation;
    std::uint64_t fingerprint = 0;
    stored_response response; ///< Empty unless Done.

    friend bool operator==(const claim_record&, const claim_record&) = default;
};

/// Returns the key of an order's row. No such key is a prefix of another, so a range read of it returns at most one claim.
std::string claimRowKey(const order&);

std::string encode(const claim_record&);

/// Decodes a row's value; fails with failure_code::Broken on a value that encode can't have returned.
result<claim_record> decodeClaimRecord(const std::string& value);

} // namespace radishflow
