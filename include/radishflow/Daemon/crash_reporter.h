// Declares crash_reporter, how an owner confirms a crash and tells the fleet.
#pragma once

#include "radishflow/Admission/crash_record.h"
#include "radishflow/Support/ids.h"

#include <functional>
#include <vector>

namespace radishflow {

/// All are called from many threads at once and may wait for the network.
struct crash_reporter {
    std::function<double(const server_id&)> startTime; ///< Of the server's process, as last read; 0 when unknown.
    std::function<bool(const server_id&, double startTime)> hasCrashed; ///< After a connection broke that was made then.
    std::function<void(const std::vector<crash_record>&)> spread;
};

} // namespace radishflow
