// Declares crash_record, what daemons tell each other about requests in flight at a crash.
#pragma once

#include "radishflow/Admission/request_fingerprint.h"
#include "radishflow/Support/monotonic_clock.h"

namespace radishflow {

/// A request was in flight when a server crashed. Clocks differ among daemons, so the time left is sent.
struct crash_record {
    request_fingerprint fingerprint;
    server_id server;
    duration remaining {};
};

} // namespace radishflow
