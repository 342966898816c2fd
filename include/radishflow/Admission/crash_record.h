// Declares crash_record, which daemons exchange about requests in flight at a crash.
#pragma once

#include "radishflow/Admission/request_fingerprint.h"
#include "radishflow/Support/monotonic_clock.h"

namespace radishflow {

/// What a server had sent of the response to a request before it crashed.
enum class response_progress {
    None, ///< Nothing, or parts for a short time only.
    Steady, ///< Parts for longer than a request that crashes servers runs.
};

/// Records that a request was in flight when a server crashed. Holds the remaining time instead of an expiry time, since
/// the clocks of daemons differ.
struct crash_record {
    request_fingerprint fingerprint;
    server_id server;
    duration remaining {}; ///< Time until the record expires.
    response_progress progress = response_progress::None;
};

} // namespace radishflow
