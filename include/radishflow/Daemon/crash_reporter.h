// Declares crash_reporter, the callbacks by which an owner confirms a crash and publishes it to the fleet.
#pragma once

#include "radishflow/Admission/crash_record.h"
#include "radishflow/Support/ids.h"

#include <functional>
#include <vector>

namespace radishflow {

/// All callbacks are called from many threads concurrently and may wait for the network.
struct crash_reporter {
    std::function<double(const server_id&)> startTime; ///< Last known start of the server's process in seconds since the epoch; 0 when unknown.
    std::function<bool(const server_id&, double startTime)> hasCrashed; ///< Called after a connection to the process that started at startTime broke.
    std::function<void(const std::vector<crash_record>&)> publish;
};

} // namespace radishflow
