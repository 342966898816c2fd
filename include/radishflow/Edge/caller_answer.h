// Declares caller_answer, from which the edge reads what it sends to a caller.
#pragma once

#include "radishflow/Requests/answer_part.h"
#include "radishflow/Requests/refusal.h"
#include "radishflow/Support/ids.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>

namespace radishflow {

/// Either a refusal or an answer to read part by part. Used by one thread.
struct caller_answer {
    std::optional<refusal> refused;
    request_id request;
    /// Returns the id by which, with the last event's id, the caller resumes at any daemon; known once the answer
    /// has begun.
    std::function<request_id()> resumeId;
    std::function<answer_part(std::uint64_t offset, std::chrono::milliseconds wait)> read;
    std::function<void()> cancel; ///< Called when the caller has gone.
};

} // namespace radishflow
