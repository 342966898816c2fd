// Declares gossip_traffic, what gossip costs by message kind.
#pragma once

#include "radishflow/Membership/message_kind.h"

#include <array>
#include <chrono>
#include <cstdint>

namespace radishflow {

struct gossip_traffic {
    struct kind_counter {
        std::uint64_t datagrams = 0;
        std::uint64_t bytes = 0; ///< Payload of UDP.
        std::chrono::nanoseconds processorTime {}; ///< Of the gossip thread.
    };
    using kind_counters = std::array<kind_counter, messageKindCount>;

    kind_counters sent; ///< Indexed by message_kind.
    kind_counters received;
    std::chrono::nanoseconds tickTime {}; ///< Processor time of ticks, sending not counted.
    std::chrono::nanoseconds threadTime {}; ///< All processor time of the gossip thread.
    std::uint64_t refusedTooLong = 0;
    std::uint64_t refusedUnsigned = 0; ///< No key fitted.
    std::uint64_t refusedMalformed = 0;
    std::uint64_t sendErrors = 0;
};

} // namespace radishflow
