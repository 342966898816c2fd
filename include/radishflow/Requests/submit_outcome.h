// Declares submit_outcome, an owner's answer to a submission.
#pragma once

#include "radishflow/Requests/refusal.h"

#include <optional>
#include <string>

namespace radishflow {

/// Either a stream to read the answer from, or why there is none.
struct submit_outcome {
    std::string streamId; ///< Empty when refused.
    std::optional<refusal> refused;

    bool isAccepted() const { return !refused.has_value(); }
};

} // namespace radishflow
