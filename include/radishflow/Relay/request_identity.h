// Declares request_identity, by which crashes of backend servers are attributed to requests.
#pragma once

#include "radishflow/Admission/request_fingerprint.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace radishflow {

/// What is blamed or cleared when a server crashes or completes a response.
struct request_identity {
    request_fingerprint content; ///< Of workspace, target and body; the same each time a request comes again.
    /// Of workspace, target, the caller's key and the prompt. Set only for a request without a body, since different callers
    /// send such requests with the same content.
    std::optional<request_fingerprint> variant;
    std::vector<std::uint64_t> sharedParts; ///< Ids of the prompt's parts but the last, which is the request's or session's own.
};

} // namespace radishflow
