// Implements fleet_state.
#include "fleet_state.h"

#include <algorithm>
#include <cmath>

namespace radishflow {

static std::size_t ticksIn(sim_time span)
{
    return static_cast<std::size_t>(std::ceil(span / fleet_state::tickLength));
}

static time_point toTimePoint(sim_time now)
{
    return time_point { std::chrono::duration_cast<duration>(now) };
}

fleet_state::fleet_state(const fleet_layout& layout, const fleet_options& options)
    : m_layout(layout)
    , m_options(options)
    , m_engines(layout.servers, engine_model { options.engine })
    , m_loads(options.meanPerRegion ? layout.regions : 1)
    , m_loadHistory(1 + ticksIn(options.meanDelay) + ticksIn(options.meanWindow), m_loads)
    , m_views(ticksIn(options.maxViewDelay) + 1, layout.makeServers())
    , m_planners(layout.servers, move_planner { { .exportsPerSecond = std::max(1.0, options.exportsPerSecond) } })
{
    recomputeLoads();
}

bool fleet_state::isServing(std::size_t index) const
{
    const engine_model& engine = m_engines[index];
    return engine.isUp && engine.isReachable && engine.isAdmitting;
}

std::size_t fleet_state::groupOf(std::size_t index) const
{
    return m_options.meanPerRegion ? m_layout.regionOf(index) : 0;
}

void fleet_state::addLoad(std::size_t index)
{
    if (isServing(index))
        m_loads[groupOf(index)].running += 1;
}

void fleet_state::removeLoad(std::size_t index)
{
    if (isServing(index))
        m_loads[groupOf(index)].running -= 1;
}

void fleet_state::recomputeLoads()
{
    std::fill(m_loads.begin(), m_loads.end(), service_load {});
    for (std::size_t i = 0; i < size(); ++i) {
        if (!isServing(i))
            continue;
        service_load& load = m_loads[groupOf(i)];
        load.running += static_cast<double>(m_engines[i].load());
        load.weight += m_engines[i].warmShare();
    }
}

double fleet_state::minMeanInWindow(std::size_t group) const
{
    double minMean = m_loadHistory[1][group].mean();
    for (std::size_t i = 1; i < ticksIn(m_options.meanWindow); ++i)
        minMean = std::min(minMean, m_loadHistory[1 + i][group].mean());
    return minMean;
}

// Arrivals and completions are independent of each other. Over the age of the mean, the number of running requests
// therefore changes with a variance of about twice the completions in that time.
double fleet_state::conservativeMean(std::size_t group) const
{
    constexpr sim_time meanResponseTime { 8.5 };
    const service_load& known = m_loadHistory[1][group];
    const double completions = known.running * ((m_options.meanDelay + tickLength) / meanResponseTime);
    const double deviation = std::sqrt(2 * completions) / std::max(1.0, known.weight);
    // With a bound below the mean plus one slot, an idle fleet could never accept more requests.
    const double mean = minMeanInWindow(group);
    // A declining mean continues to decline while its update is in transit.
    const double decline = (m_loadHistory[0][group].mean() - known.mean()) * ((m_options.meanDelay + tickLength) / tickLength);
    return std::max(mean / m_options.loadMultiple, mean - std::max(m_options.meanDeviations * deviation, decline));
}

double fleet_state::limitOf(std::size_t index) const
{
    const double bound = std::floor(m_options.loadMultiple * conservativeMean(groupOf(index)) + 1);
    return std::min({ bound, std::floor(m_engines[index].concurrencyLimit), static_cast<double>(m_options.engine.slots) });
}

bool fleet_state::admits(std::size_t index) const
{
    if (!isServing(index))
        return false;
    return !m_options.enforcesBound || static_cast<double>(m_engines[index].load()) < limitOf(index);
}

double fleet_state::loadShare(std::size_t index) const
{
    return static_cast<double>(m_engines[index].load()) / std::max(1.0, limitOf(index));
}

bool fleet_state::isAboveBound(std::size_t index) const
{
    if (!isServing(index))
        return false;
    const double mean = m_loads[groupOf(index)].mean();
    return static_cast<double>(m_engines[index].load()) > m_options.loadMultiple * mean + 1;
}

placement_server& fleet_state::updateHints(placement_server& server, std::size_t index) const
{
    const engine_model& engine = m_engines[index];
    server.acceptsRequests = isServing(index);
    server.ramp = engine.warmShare();
    server.knownLoad = loadShare(index);
    return server;
}

void fleet_state::tick()
{
    recomputeLoads();
    m_loadHistory.pop_front();
    m_loadHistory.push_back(m_loads);
    std::vector<placement_server> view = std::move(m_views.front());
    m_views.pop_front();
    for (std::size_t i = 0; i < view.size(); ++i)
        updateHints(view[i], i);
    m_views.push_back(std::move(view));
}

void fleet_state::sampleSkew(sim_time now, measurements& results) const
{
    double maxLoad = 0;
    double total = 0;
    double serving = 0;
    for (std::size_t i = 0; i < size(); ++i) {
        if (!isServing(i))
            continue;
        maxLoad = std::max(maxLoad, static_cast<double>(m_engines[i].load()));
        total += static_cast<double>(m_engines[i].load());
        serving += m_engines[i].warmShare();
        if (results.isMeasured(now) && isAboveBound(i))
            ++results.serverSecondsAboveBound;
    }
    if (total > 0)
        results.recordSkew(now, maxLoad / (total / serving));
}

std::span<const placement_server> fleet_state::view(sim_time delay) const
{
    return m_views[m_views.size() - 1 - std::min(m_views.size() - 1, ticksIn(delay))];
}

// Plans against the state after the change: leaving servers accept no requests, and returning ones are ranked as fully warmed up.
void fleet_state::planExports(sim_time now)
{
    if (m_options.exportsPerSecond <= 0)
        return;
    std::vector<placement_server> planned = m_views.back();
    for (std::size_t i = 0; i < size(); ++i) {
        planned[i].acceptsRequests = isServing(i) && !m_engines[i].isLeaving;
        planned[i].ramp = 1;
    }
    for (std::size_t i = 0; i < size(); ++i) {
        if (m_engines[i].isUp && m_engines[i].isReachable)
            m_planners[i].plan(m_engines[i].sketch(now), i, m_views[m_views.size() - 2], planned, toTimePoint(now));
    }
}

void fleet_state::runExports(sim_time now, measurements& results)
{
    for (std::size_t i = 0; i < size(); ++i) {
        if (!m_engines[i].isUp || !m_engines[i].isReachable)
            continue;
        const auto move = m_planners[i].next(toTimePoint(now));
        if (!move)
            continue;
        const auto target = std::find_if(m_views.back().begin(), m_views.back().end(),
            [&](const placement_server& server) { return server.id == move->to; });
        engine_model& to = m_engines[static_cast<std::size_t>(target - m_views.back().begin())];
        const std::uint32_t tokens = m_engines[i].usePrefix(move->prefix);
        if (tokens == 0 || !to.isUp || !to.isReachable)
            continue;
        to.storePrefix(move->prefix, tokens, now);
        ++results.exports;
    }
}

} // namespace radishflow
