// Declares load_reader, which reads the load reports of the engines that this daemon owns.
#pragma once

#include "radishflow/Backend/backend_client.h"
#include "radishflow/Daemon/ownership_keeper.h"
#include "radishflow/Support/monotonic_clock.h"

#include <map>
#include <optional>
#include <string>

namespace radishflow {

/// What an engine's metrics page says.
struct engine_report {
    int running = 0;
    bool hasOrigins = false;
    std::map<term_number, int> runningByOrigin;
    double startTime = 0; ///< Seconds since the epoch; grows when the engine starts anew.
    long completed = 0;
};

/// Reads a Prometheus text; nothing when it reports no running requests.
std::optional<engine_report> parseEngineReport(const std::string& text);

/// Reads reports of owned servers. Used by one thread.
class load_reader {
public:
    load_reader(const backend_client& client, ownership_keeper& ownership, duration reportLag)
        : m_client(client)
        , m_ownership(ownership)
        , m_reportLag(reportLag)
    {
    }

    /// Reads each owned server once.
    void readAll();

private:
    void readOne(const server_id&);

    const backend_client& m_client;
    ownership_keeper& m_ownership;
    duration m_reportLag; ///< Longest time by which a report is late.
};

} // namespace radishflow
