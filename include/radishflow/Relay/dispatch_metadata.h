// Declares dispatch_metadata, the information that the relay adds to a request when it sends it to a backend server.
#pragma once

#include "radishflow/Support/ids.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace radishflow {

struct dispatch_metadata {
    server_id server; ///< The only server that may run the request.
    workspace_id workspace; ///< Empty if the route needs no key.
    std::chrono::milliseconds timeLeft { 0 }; ///< Until the deadline of the request.
    int priority = 0; ///< 0 is the most urgent.
    std::optional<std::uint64_t> resumeAfter; ///< Id of the last event forwarded to the caller; the stream resumes after it.
    std::string cacheSource; ///< "IP:port" from which the server may copy the missing part of the prompt cache; empty for none.
    bool isModelRequest = false;
};

} // namespace radishflow
