// Declares reservation_record, the state of one redeemed reservation.
#pragma once

#include "radishflow/Orders/order_reply.h"
#include "radishflow/Support/monotonic_clock.h"

#include <cstdint>

namespace radishflow {

struct reservation_record {
    std::uint64_t fingerprint = 0;
    time_point expiry {};
    order_reply reply { .reason = reply_reason::InProgress };
};

} // namespace radishflow
