// Declares peer_handlers, what a daemon does with the calls of its peers.
#pragma once

#include "radishflow/Admission/crash_record.h"
#include "radishflow/Peer/peer_configuration.h"
#include "radishflow/Requests/answer_part.h"
#include "radishflow/Requests/request_submission.h"
#include "radishflow/Requests/submit_outcome.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace radishflow {

/// Each is called from many threads at once and must not throw.
struct peer_handlers {
    std::function<submit_outcome(const request_submission&)> submit;
    std::function<answer_part(const std::string& streamId, std::uint64_t offset, std::chrono::milliseconds wait, std::size_t most)> read;
    std::function<void(const std::string& streamId)> cancel;
    std::function<void(const std::vector<crash_record>&)> learnCrashes;
    std::function<peer_configuration(config_version above)> configuration;
};

} // namespace radishflow
