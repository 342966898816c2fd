// Declares proxy_counts, what the fault proxy records.
#pragma once

#include <cstdint>

namespace radishflow {

struct proxy_counts {
    std::int64_t accepted = 0; ///< Connections, or senders of datagrams.
    std::int64_t cuts = 0; ///< Connections or datagrams that the seeded choice cut.
    std::int64_t bytesUp = 0; ///< Received from callers, also what was dropped then.
    std::int64_t bytesDown = 0;
    std::int64_t bytesDropped = 0;
};

} // namespace radishflow
