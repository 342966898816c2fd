// Declares dispatch_metadata, what the relay adds to a request that it sends to a backend server.
#pragma once

#include "radishflow/Support/ids.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace radishflow {

struct dispatch_metadata {
    server_id server; ///< The only one that may run it.
    workspace_id workspace; ///< Empty where no key was needed.
    std::chrono::milliseconds timeLeft { 0 };
    int priority = 0; ///< 0 is the most urgent.
    std::optional<std::uint64_t> resumeAfter; ///< Last event that was passed on.
    std::string cacheSource; ///< "IP:port" from which the server may copy what it lacks of the prompt; empty for none.
    bool isModelRequest = false;
};

} // namespace radishflow
