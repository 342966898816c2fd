// Declares generation, one answer that the engine's stand-in is producing.
#pragma once

#include "radishflow/Support/monotonic_clock.h"

#include <condition_variable>
#include <cstdint>
#include <string>

namespace radishflow {

enum class generation_state {
    Waiting,
    Running,
    Done,
    Cancelled,
    Lost, ///< The engine fell over.
};

struct generation_request {
    std::string id; ///< X-Request-Id, or a made-up one.
    std::string model;
    std::string prompt; ///< Content of the last user message.
    int tokens = 16;
    int urgency = 3; ///< 0 is the most urgent.
    std::uint64_t originTerm = 0;
    std::string prefix; ///< X-Chat-Prefix; empty for none.
    bool crashesEngine = false;
};

/// Guarded by the lock of the engine that holds it.
struct generation {
    generation_request request;
    generation_state state = generation_state::Waiting;
    std::uint64_t arrival = 0; ///< Orders requests of the same urgency.
    int produced = 0; ///< Tokens so far.
    time_point nextTokenAt {};
    int attachment = 1; ///< Grows when a connection takes over; the earlier one then ends.
    bool isAttached = true;
    time_point detachedAt {};
    std::condition_variable changed; ///< Signalled when a token or the end has come.

    bool isOver() const { return state != generation_state::Waiting && state != generation_state::Running; }
};

} // namespace radishflow
