// Declares request_identity, by which crashes of backend servers are attributed to requests.
#pragma once

#include "radishflow/Admission/request_fingerprint.h"

namespace radishflow {

struct request_identity {
    request_fingerprint content; ///< Of workspace, target and body; the same each time a request comes again.
    request_fingerprint variant; ///< Of the caller's key and the prompt as well; tells requests without a body apart.
};

} // namespace radishflow
