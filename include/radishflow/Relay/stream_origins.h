// Declares stream_origins, through which the relay learns at which software version a stream began.
#pragma once

#include "radishflow/Routing/stream_origin.h"

#include <functional>
#include <optional>

namespace radishflow {

/// Both functions are thread-safe.
struct stream_origins {
    std::function<void(const stream_origin&)> publish; ///< Makes an origin known to the fleet.
    /// Returns the version that began a stream of a service, or nothing if it is unknown; may wait for other daemons. The
    /// request is the one that brought the first event, and empty if the caller does not name it.
    std::function<std::optional<version_key>(const service_id&, const request_id&)> find;
};

} // namespace radishflow
