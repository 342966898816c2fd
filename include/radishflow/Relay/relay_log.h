// Declares the structured log lines of the relay.
#pragma once

#include "radishflow/Requests/request_record.h"

#include <string_view>

namespace radishflow {

/// Sends the process's log to standard output through a bounded queue that never blocks; the oldest lines are dropped
/// when it is full. Call once.
void startLog(std::string_view level);
/// Writes what is queued.
void stopLog();

/// Writes one line; those of served requests are left out beyond a rate, and the next line tells how many. Thread-safe.
void logRequest(const request_record&);

} // namespace radishflow
