// Declares relayed_request, the information that the relay reads from the request head of a caller.
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
    request_id id; ///< Empty if the caller sent none.
    std::string host; ///< Lower case, without the port.
    std::string path; ///< Without the query.
    std::string key; ///< API key of the caller's workspace; empty if none was sent.
    std::optional<std::chrono::milliseconds> timeLeft; ///< Time until the caller's deadline, measured when the caller sent the request.
    std::vector<prompt_part> prompt; ///< Parts shared with other requests come first; the last one is specific to the request or its session.
    int promptTokens = 0;
    int maxOutputTokens = 0;
    request_id resumes; ///< Request that brought the first event of the interrupted stream that this one resumes; empty for a new stream.
    std::optional<std::uint64_t> resumeAfter; ///< Id of the last event that the caller received of an interrupted stream.
};

} // namespace radishflow
