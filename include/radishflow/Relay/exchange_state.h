// Declares exchange_state, how sending one request to a backend server went.
#pragma once

namespace radishflow {

enum class exchange_state {
    Succeeded, ///< A head that belongs to the request has come.
    NotSent, ///< Nothing was sent, so it can't have run.
    MayHaveRun, ///< Something was sent and no usable answer came.
    TimedOut, ///< Sent, and silent until the deadline.
    CallerGone,
};

} // namespace radishflow
