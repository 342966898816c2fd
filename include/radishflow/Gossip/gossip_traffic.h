// Declares gossip_traffic, the datagrams, bytes and processor time of gossip by message kind.
#pragma once

#include "radishflow/Membership/message_kind.h"

#include <array>
#include <chrono>
#include <cstdint>

namespace radishflow {

struct gossip_traffic {
    struct kind_counter {
        std::uint64_t datagrams = 0;
        std::uint64_t bytes = 0; ///< UDP payload bytes.
        std::chrono::nanoseconds processorTime {}; ///< Processor time of the gossip thread.
    };
    using kind_counters = std::array<kind_counter, messageKindCount>;

    kind_counters sent; ///< Indexed by message_kind.
    kind_counters received;
    std::chrono::nanoseconds tickTime {}; ///< Processor time of ticks, without sending.
    std::chrono::nanoseconds threadTime {}; ///< Total processor time of the gossip thread.
    std::uint64_t rejectedTooLong = 0; ///< Datagrams longer than gossip_message::maxBytes.
    std::uint64_t rejectedUnauthenticated = 0; ///< Datagrams whose authentication code matched no key.
    std::uint64_t rejectedMalformed = 0;
    std::uint64_t sendErrors = 0;
};

} // namespace radishflow
