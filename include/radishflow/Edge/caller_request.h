// Declares caller_request, a request as it came from a caller.
#pragma once

#include "radishflow/Support/ids.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace radishflow {

/// A checked request of a caller; ids are empty where the caller gave none.
struct caller_request {
    request_id request; ///< Made by the edge unless the caller resumes an earlier one.
    service_id service; ///< Empty for a model call, whose model names the service.
    bool isModelCall = false;
    std::string method;
    std::string path; ///< Path and query at the backend.
    std::string contentType;
    std::string body;
    workspace_id workspace;
    chat_id chat;
    idempotency_key key;
    int priority = -1; ///< RFC 9218 urgency; -1 takes the workspace's.
    std::chrono::milliseconds timeout { 0 }; ///< Zero takes the service's.
    std::uint64_t resumeAfter = 0; ///< Last event that the caller has; 0 starts anew.
    bool isResumed = false; ///< The caller continues an earlier request by its id.
};

} // namespace radishflow
