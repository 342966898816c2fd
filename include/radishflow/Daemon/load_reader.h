// Declares load_reader, which reads the load reports and cache events of the engines that this daemon owns.
#pragma once

#include "radishflow/Backend/backend_client.h"
#include "radishflow/Daemon/crash_confirmation.h"
#include "radishflow/Daemon/ownership_keeper.h"
#include "radishflow/Daemon/prefix_watch.h"
#include "radishflow/Daemon/server_gates.h"
#include "radishflow/Support/monotonic_clock.h"

#include <map>
#include <optional>
#include <string>

namespace radishflow {

/// What an engine's metrics page says.
struct engine_report {
    bool hasLoad = false;
    int running = 0; ///< With those that wait.
    bool hasOrigins = false;
    std::map<term_number, int> runningByOrigin;
    double startTime = 0; ///< Seconds since the epoch; grows when the engine starts anew.
    std::optional<std::uint64_t> completed;
};

/// Reads a Prometheus text; hasLoad tells whether it reports running requests.
engine_report parseEngineReport(const std::string& text);

/// Returns when the process behind a Prometheus text started, in seconds since the epoch; 0 when unsaid.
double startTimeOf(const std::string& text);

/// Reads reports of owned servers. Used by one thread.
class load_reader {
public:
    load_reader(const backend_client& client, ownership_keeper& ownership, server_gates& gates, crash_confirmation& crashes, prefix_watch& prefixes, duration reportLag)
        : m_client(client)
        , m_ownership(ownership)
        , m_gates(gates)
        , m_crashes(crashes)
        , m_prefixes(prefixes)
        , m_reportLag(reportLag)
    {
    }

    /// Reads each owned server once.
    void readAll();

private:
    void readOne(const server_id&);
    void readCacheEvents(const server_id&);

    const backend_client& m_client;
    ownership_keeper& m_ownership;
    server_gates& m_gates;
    crash_confirmation& m_crashes;
    prefix_watch& m_prefixes;
    duration m_reportLag; ///< Longest time by which a report is late.
};

} // namespace radishflow
