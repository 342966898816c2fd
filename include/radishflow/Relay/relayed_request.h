// Declares relayed_request, what a caller's head says in the project's terms.
#pragma once

#include "radishflow/Routing/prompt_part.h"
#include "radishflow/Support/ids.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace radishflow {

struct relayed_request {
    request_id id; ///< Empty where the caller sent none.
    std::string host; ///< Lower case, without the port.
    std::string path; ///< Without the query.
    std::string key;
    std::optional<std::chrono::milliseconds> timeLeft; ///< Until the caller's deadline, when it sent the request.
    std::vector<prompt_part> prompt; ///< Shared parts first; the last belongs to the request or its session.
    int promptTokens = 0;
    int maxOutputTokens = 0;
    std::optional<std::uint64_t> resumeAfter; ///< Last event that the caller has of a broken stream.
};

} // namespace radishflow
