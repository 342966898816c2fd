// Declares body_read_result, the result of one read from the body of a response.
#pragma once

namespace radishflow {

enum class body_read_result {
    Data, ///< Bytes were decoded; more may follow.
    Complete, ///< The end of the body was reached according to its framing.
    Broken, ///< The framing is malformed, or the connection ended before the body did.
    TimedOut,
    CallerGone, ///< The caller disconnected.
};

} // namespace radishflow
