// Declares request_identity, by which crashes of backend servers are attributed to requests.
#pragma once

#include "radishflow/Admission/request_fingerprint.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace radishflow {

struct request_identity {
    request_fingerprint content; ///< Of workspace, target and body; the same each time a request comes again.
    std::optional<request_fingerprint> variant; ///< Of the caller's key and the prompt as well; set for a request without a body only, to tell those with the same content apart.
    std::vector<std::uint64_t> sharedParts; ///< Ids of the prompt's parts but the last, which is the request's or session's own.
};

} // namespace radishflow
