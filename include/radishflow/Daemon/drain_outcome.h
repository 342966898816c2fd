// Declares drain_outcome, the work that a stop would interrupt.
#pragma once

#include <cstddef>

namespace radishflow {

struct drain_outcome {
    int calls = 0; ///< Callers' requests still in progress.
    std::size_t answers = 0; ///< Responses that other daemons have not read to the end.
    bool areServersReleased = false;

    bool isClean() const { return calls == 0 && answers == 0; }
};

} // namespace radishflow
