// Declares the structured log lines of the relay.
#pragma once

#include "radishflow/Requests/request_record.h"

#include <string_view>

namespace radishflow {

/// Starts logging to standard output through a bounded queue. Logging never blocks: when the queue is full, the oldest
/// lines are dropped. Call once.
void startLog(std::string_view level);
/// Writes the queued lines and stops logging.
void stopLog();

/// Logs one request. Lines of served requests are rate-limited; the next line of a served request states how many were
/// left out. Thread-safe.
void logRequest(const request_record&);

} // namespace radishflow
