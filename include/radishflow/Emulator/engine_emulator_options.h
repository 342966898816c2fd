// Declares engine_emulator_options, the settings of the model engine's stand-in.
#pragma once

#include <chrono>

namespace radishflow {

struct engine_emulator_options {
    int slots = 8; ///< Requests that run at once when warm; the others wait.
    std::chrono::milliseconds tokenInterval { 20 };
    std::chrono::milliseconds firstToken { 50 }; ///< A tenth of it when the prefix is cached.
    int coldLimit = 0; ///< Requests that it bears while cold; 0 means that it is never cold.
    int warmAfter = 4; ///< Completions that make it warm.
    int coldSlowdown = 3; ///< Factor on both times while cold.
    int kvPrefixes = 64; ///< Prefixes that the cache holds.
    std::chrono::milliseconds reportLag { 1000 }; ///< How late /metrics and /kv/events are.
    std::chrono::milliseconds resumeWindow { 5000 }; ///< How long a generation without a connection can be resumed.
    bool checksFence = true; ///< Whether an order with an old fencing number is refused.
};

} // namespace radishflow
