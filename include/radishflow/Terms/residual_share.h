// Declares the capacity that a former holder of a server may still use there.
#pragma once

#include "radishflow/Support/ids.h"

#include <optional>

namespace radishflow {

/// A former holder in an ownership row. Without `running` it may still send requests within its grace share.
struct residual_share {
    daemon_id daemon;
    incarnation_number incarnation;
    term_number term;
    std::optional<int> running; ///< Upper bound of its running requests when it released the server; it sends nothing after that.

    friend bool operator==(const residual_share&, const residual_share&) = default;
};

} // namespace radishflow
