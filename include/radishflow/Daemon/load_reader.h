// Declares load_reader, which reads the load reports and cache events of the engines that this daemon owns.
#pragma once

#include "radishflow/Backend/backend_client.h"
#include "radishflow/Daemon/crash_confirmation.h"
#include "radishflow/Daemon/prefix_tracker.h"
#include "radishflow/Daemon/server_admission.h"
#include "radishflow/Daemon/shared_ownership.h"
#include "radishflow/Support/monotonic_clock.h"

#include <map>
#include <optional>
#include <string>

namespace radishflow {

/// Values parsed from an engine's metrics page.
struct engine_report {
    bool hasLoad = false;
    int running = 0; ///< Includes waiting requests.
    bool hasOrigins = false;
    std::map<term_number, int> runningByOrigin;
    double startTime = 0; ///< Seconds since the epoch; increases when the engine restarts.
    std::optional<std::uint64_t> completed;
};

/// Parses a Prometheus text; hasLoad is set when it reports running requests.
engine_report parseEngineReport(const std::string& text);

/// Returns the process start time in a Prometheus text, in seconds since the epoch; 0 when absent.
double startTimeOf(const std::string& text);

/// Reads the load reports of owned servers. Used by one thread.
class load_reader {
public:
    load_reader(const backend_client& client, shared_ownership& ownership, server_admission& admission, crash_confirmation& crashes, prefix_tracker& prefixes, duration reportLag)
        : m_client(client)
        , m_ownership(ownership)
        , m_admission(admission)
        , m_crashes(crashes)
        , m_prefixes(prefixes)
        , m_reportLag(reportLag)
    {
    }

    /// Reads each owned server once.
    void readAll();

private:
    void readServer(const server_id&);
    void readCacheEvents(const server_id&);

    const backend_client& m_client;
    shared_ownership& m_ownership;
    server_admission& m_admission;
    crash_confirmation& m_crashes;
    prefix_tracker& m_prefixes;
    duration m_reportLag; ///< Maximum delay of a report.
};

} // namespace radishflow
