// Declares io_outcome, how a wait for a socket ended.
#pragma once

namespace radishflow {

enum class io_outcome {
    Done,
    Ended, ///< The peer closed its side cleanly.
    Broken, ///< Reset, refused or timed out by the network.
    TimedOut,
    CallerGone, ///< The caller that waits for it has left.
};

} // namespace radishflow
