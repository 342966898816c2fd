// Declares the structured log lines of the relay.
#pragma once

#include "radishflow/Requests/request_record.h"

#include <cstddef>
#include <string_view>

namespace radishflow {

/// Starts logging to standard output through a bounded queue. Logging never blocks: when the queue is full, the oldest
/// lines are dropped. Call once.
void startLog(std::string_view level);
/// Stops logging; writes the queued lines, unless that takes longer than a fraction of a second.
void stopLog();
/// Returns how many lines were dropped since the queue was full.
std::size_t droppedLogLines();

/// Logs one request. Lines of served requests are rate-limited; the next line of a served request states how many were
/// left out. Thread-safe.
void logRequest(const request_record&);

} // namespace radishflow
