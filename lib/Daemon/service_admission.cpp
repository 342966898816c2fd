// Implements the load bound and the workspace limits of one service at one owner.
#include "radishflow/Daemon/service_admission.h"

#include <algorithm>
#include <cmath>

namespace radishflow {

static constexpr std::chrono::seconds maxAggregateAge { 10 };

void service_admission::configure(const service_settings& service, const fleet_config& config, config_version version)
{
    m_bound.emplace(m_clock, m_self, load_bound_options { .multiple = service.loadMultiple, .maxAggregateAge = maxAggregateAge });
    m_multiple = service.loadMultiple;
    std::unordered_map<workspace_id, workspace_options> settings;
    for (const auto& [id, workspace] : config.workspaces)
        settings[id] = { .maxRunning = workspace.limit, .weight = static_cast<double>(workspace.weight) };
    m_workspaces.configure(std::move(settings), {});
    m_version = version;
}

// The gossiped sums are seconds old, so in a burst on an idle fleet every server would have a bound of one. The
// servers that refused this request reported their current running counts. A sum over some of the servers divided by
// all of them is a mean that is never too high.
bool service_admission::isWithinBound(int runningAtServer, int witnessedRunning) const
{
    if (m_bound->admits(runningAtServer))
        return true;
    const double mean = static_cast<double>(witnessedRunning + runningAtServer + 1) / m_listedServers;
    return runningAtServer < static_cast<int>(std::ceil(m_multiple * mean));
}

// The fleet's sum includes what this owner ran when it was measured. Subtracting the maximum that this owner has run
// since then can only make the rest smaller, and a mean that is too low preserves the bound.
int service_admission::maxRecentOwnLoad(int ownRunning)
{
    const time_point now = m_clock.now();
    while (!m_ownLoadSamples.empty() && now - m_ownLoadSamples.front().at > maxAggregateAge)
        m_ownLoadSamples.pop_front();
    m_ownLoadSamples.push_back({ .at = now, .running = ownRunning });
    const auto highest = std::max_element(m_ownLoadSamples.begin(), m_ownLoadSamples.end(), [](const own_load_sample& left, const own_load_sample& right) { return left.running < right.running; });
    return highest->running;
}

void service_admission::setLoads(int ownRunning, int ownServers, int listedServers, const fleet_load& fleet)
{
    m_bound->setOwnLoad(ownRunning, ownServers);
    m_listedServers = std::max({ listedServers, ownServers, 1 });
    m_bound->setListedServers(listedServers);
    m_workspaces.setShare(std::max(1, ownServers), std::max(1, listedServers));
    const load_aggregate others {
        .owner = daemon_id { "rest of the fleet" },
        .incarnation = incarnation_number { 1 },
        .sequence = ++m_sequence,
        .running = std::max(0, fleet.running - maxRecentOwnLoad(ownRunning)),
        .servers = std::max(0, listedServers - ownServers),
    };
    m_bound->merge(others, m_clock.now() - fleet.measuredAt);
}

} // namespace radishflow
