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

// The gossip's sums are seconds old, so a burst that meets an idle fleet would find every server at a bound of
// one. The servers that refused this very request ran what they told a moment ago: a sum over some of the
// servers, spread over all, is a mean that errs low as well.
bool service_admission::isWithinBound(int runningAtServer, int witnessedRunning) const
{
    if (m_bound->admits(runningAtServer))
        return true;
    const double mean = static_cast<double>(witnessedRunning + runningAtServer + 1) / m_listedServers;
    return runningAtServer < static_cast<int>(std::ceil(m_multiple * mean));
}

// The fleet's sum holds what this owner ran when it was measured. Taking off the most that it ran since then
// can only make the rest look smaller, and a mean that is too low keeps the bound.
int service_admission::highestOwnLately(int ownRunning)
{
    const time_point now = m_clock.now();
    while (!m_ownReadings.empty() && now - m_ownReadings.front().at > maxAggregateAge)
        m_ownReadings.pop_front();
    m_ownReadings.push_back({ .at = now, .running = ownRunning });
    const auto highest = std::max_element(m_ownReadings.begin(), m_ownReadings.end(), [](const own_reading& left, const own_reading& right) { return left.running < right.running; });
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
        .running = std::max(0, fleet.running - highestOwnLately(ownRunning)),
        .servers = std::max(0, listedServers - ownServers),
    };
    m_bound->merge(others, m_clock.now() - fleet.measuredAt);
}

} // namespace radishflow
