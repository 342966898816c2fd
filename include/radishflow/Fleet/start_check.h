// Declares start_check, with which a daemon that has started finds out whether the tables that it reads are an old copy.
#pragma once

#include "radishflow/Routing/fleet_view.h"
#include "radishflow/Support/monotonic_clock.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <optional>
#include <set>
#include <vector>

namespace radishflow {

struct start_check_options {
    duration maxWait = std::chrono::milliseconds { 1000 }; ///< For the gossip to find other daemons, and for their responses.
    std::size_t maxDaemons = 3; ///< Daemons to ask.
};

/// The platform's store may have come back from a copy that lacks the newest configuration. Daemons that ran before know it,
/// so one that starts asks some of them before it serves. Not thread-safe.
class start_check {
public:
    explicit start_check(time_point startedAt, const start_check_options& options = {})
        : m_options(options)
        , m_startedAt(startedAt)
    {
    }

    /// Returns the daemon to ask next, first those that accept callers; nothing if enough have been asked.
    std::optional<fleet_daemon> next(const fleet_view& fleet) const
    {
        const std::vector<fleet_daemon> others = unasked(fleet);
        if (others.empty() || m_asked.size() >= m_options.maxDaemons)
            return std::nullopt;
        const auto accepting = std::find_if(others.begin(), others.end(), [](const fleet_daemon& daemon) { return daemon.acceptsCallers; });
        return accepting == others.end() ? others.front() : *accepting;
    }

    /// Records that a daemon was asked, and whether it stated a configuration.
    void recordAsked(const daemon_id& daemon, bool hasConfig)
    {
        m_asked.insert(daemon);
        m_responses += hasConfig ? 1 : 0;
    }

    /// Returns whether all daemons in reach, or enough of them, have been asked, or the wait is over.
    bool isDone(const fleet_view& fleet, time_point now) const
    {
        return now - m_startedAt >= m_options.maxWait || (!m_asked.empty() && !next(fleet));
    }

    /// Returns the number of daemons that stated a configuration.
    int responses() const { return m_responses; }

private:
    std::vector<fleet_daemon> unasked(const fleet_view& fleet) const
    {
        std::vector<fleet_daemon> others;
        for (const fleet_daemon& daemon : fleet.daemons) {
            if (daemon.id != fleet.self && !m_asked.contains(daemon.id))
                others.push_back(daemon);
        }
        return others;
    }

    start_check_options m_options;
    time_point m_startedAt;
    std::set<daemon_id> m_asked;
    int m_responses = 0;
};

} // namespace radishflow
