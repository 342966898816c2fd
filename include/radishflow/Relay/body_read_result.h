// Declares body_step, what one read of an answer's body brought.
#pragma once

namespace radishflow {

enum class body_read_result {
    Data,
    Complete, ///< The body has ended as its framing says.
    Broken,
    TimedOut,
    CallerGone,
};

} // namespace radishflow
