// Declares order, a non-idempotent call.
#pragma once

#include "radishflow/Support/ids.h"

#include <cstdint>

namespace radishflow {

/// Two orders with one workspace and key are the same order when their fingerprints are equal.
struct order {
    workspace_id workspace;
    idempotency_key key; ///< As the caller sent it; isValidKey holds.
    std::uint64_t fingerprint = 0; ///< Hash of service, method, path and body.
};

/// Whether a key has 1 to 200 visible ASCII characters.
bool isValidKey(const idempotency_key&);

} // namespace radishflow
