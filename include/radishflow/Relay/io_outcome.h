// Declares io_outcome, the result of an operation on a socket.
#pragma once

namespace radishflow {

enum class io_outcome {
    Done,
    Ended, ///< The peer closed its sending side cleanly.
    Broken, ///< The connection was reset, refused or timed out by the network stack.
    TimedOut, ///< The deadline of the operation passed.
    CallerGone, ///< The caller on whose behalf the operation ran has disconnected.
};

} // namespace radishflow
