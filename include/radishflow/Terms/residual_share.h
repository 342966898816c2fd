// Declares what a former holder of a server may still have there.
#pragma once

#include "radishflow/Support/ids.h"

#include <optional>

namespace radishflow {

/// One former holder in an ownership row. Without `running` it may still send within its dark share.
struct residual_share {
    daemon_id daemon;
    incarnation_number incarnation;
    term_number term;
    std::optional<int> running; ///< Most requests left at a release, after which it sends no more.

    friend bool operator==(const residual_share&, const residual_share&) = default;
};

} // namespace radishflow
