// Declares order, a call that isn't idempotent and must be executed at most once.
#pragma once

#include "radishflow/Support/ids.h"

#include <cstdint>

namespace radishflow {

/// Identified by workspace and key. A call with the same workspace and key but another fingerprint reuses
/// the key for another order and is rejected.
struct order {
    workspace_id workspace;
    idempotency_key key; ///< As the caller sent it. It may be invalid; see isValidKey.
    std::uint64_t fingerprint = 0; ///< Hash of service, method, path and body.
};

/// Returns whether a key has 1 to 200 visible ASCII characters.
bool isValidKey(const idempotency_key&);

} // namespace radishflow
