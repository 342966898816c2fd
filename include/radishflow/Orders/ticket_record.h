// Declares ticket_record, what is known of one redeemed ticket.
#pragma once

#include "radishflow/Orders/order_reply.h"
#include "radishflow/Support/monotonic_clock.h"

#include <cstdint>

namespace radishflow {

struct ticket_record {
    std::uint64_t fingerprint = 0;
    time_point expiry {};
    order_reply reply { .reason = reply_reason::InProgress };
};

} // namespace radishflow
