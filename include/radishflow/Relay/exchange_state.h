// Declares exchange_state, the result of sending one request to a backend server.
#pragma once

namespace radishflow {

enum class exchange_state {
    Succeeded, ///< The step succeeded; after start(), the response head of the request was received.
    NotSent, ///< Nothing was sent, so the request cannot have run.
    MayHaveRun, ///< The request may have been sent, and no usable response was received.
    TimedOut, ///< The deadline passed without a response.
    CallerGone, ///< The caller disconnected.
};

} // namespace radishflow
