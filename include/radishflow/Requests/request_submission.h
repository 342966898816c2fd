// Declares request_submission, one attempt at one request on one backend server.
#pragma once

#include "radishflow/Support/ids.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace radishflow {

/// What an entry hands to the owner of a backend server.
struct request_submission {
    request_id request;
    attempt_id attempt; ///< An owner runs an attempt at most once.
    service_id service;
    server_id server;
    workspace_id workspace;
    chat_id chat;
    std::string prefix; ///< Name of the chat's prefix towards an engine; empty for a request without a chat.
    std::string method;
    std::string path;
    std::string contentType;
    std::string body;
    int priority = 3; ///< RFC 9218 urgency, 0 first to 7 last.
    std::chrono::milliseconds timeLeft { 30000 }; ///< Until the caller's deadline.
    idempotency_key key; ///< Empty for a call that may be repeated.
    bool isModelCall = false;
    std::uint64_t resumeAfter = 0; ///< Events that the caller already has; 0 starts anew.
    bool onlyIfHeld = false; ///< The owner takes it only when it believes the prefix to be held.
    server_id holder; ///< Full server that holds the prefix, to copy it from; empty when none is known.
    int witnessedRunning = 0; ///< Requests at the other servers that refused this request for their share.
    std::uint32_t rank = 0; ///< Place of the server in the chat's rank.
    std::uint64_t fingerprint = 0; ///< Hash of workspace, service, method, path and body.
    std::uint64_t fingerprintLow = 0; ///< Further bits, since a quarantine must not meet another request.
};

} // namespace radishflow
