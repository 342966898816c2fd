// Declares drain_outcome, what a stop would cut.
#pragma once

#include <cstddef>

namespace radishflow {

struct drain_outcome {
    int calls = 0; ///< Callers' requests still in progress.
    std::size_t answers = 0; ///< Answers that other daemons have not read to their end.
    bool areServersReleased = false;

    bool isClean() const { return calls == 0 && answers == 0; }
};

} // namespace radishflow
