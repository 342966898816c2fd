// Implements the modelled servers of a run.
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
    , m_views(ticksIn(options.longestViewDelay) + 1, layout.makeServers())
    , m_planners(layout.servers, move_planner { { .exportsPerSecond = std::max(1.0, options.exportsPerSecond) } })
{
    recount();
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

void fleet_state::dropLoad(std::size_t index)
{
    if (isServing(index))
        m_loads[groupOf(index)].running -= 1;
}

void fleet_state::recount()
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

double fleet_state::knownMean(std::size_t group) const
{
    double least = m_loadHistory[1][group].mean();
    for (std::size_t i = 1; i < ticksIn(m_options.meanWindow); ++i)
        least = std::min(least, m_loadHistory[1 + i][group].mean());
    return least;
}

// Arrivals and ends are independent of each other, so in the age of the mean the sum of running requests changes
// with a variance of about twice the ends in that time.
double fleet_state::lowMean(std::size_t group) const
{
    constexpr sim_time meanAnswer { 8.5 };
    const service_load& known = m_loadHistory[1][group];
    const double ends = known.running * ((m_options.meanDelay + tickLength) / meanAnswer);
    const double deviation = std::sqrt(2 * ends) / std::max(1.0, known.weight);
    // A bound below the mean plus one slot would keep an idle fleet from ever taking more.
    const double mean = knownMean(group);
    // A mean that falls goes on falling while the news of it travels.
    const double fall = (m_loadHistory[0][group].mean() - known.mean()) * ((m_options.meanDelay + tickLength) / tickLength);
    return std::max(mean / m_options.loadMultiple, mean - std::max(m_options.meanDeviations * deviation, fall));
}

double fleet_state::limitOf(std::size_t index) const
{
    const double bound = std::floor(m_options.loadMultiple * lowMean(groupOf(index)) + 1);
    return std::min({ bound, std::floor(m_engines[index].allowance), static_cast<double>(m_options.engine.slots) });
}

bool fleet_state::admits(std::size_t index) const
{
    if (!isServing(index))
        return false;
    return !m_options.keepsBound || static_cast<double>(m_engines[index].load()) < limitOf(index);
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
    recount();
    m_loadHistory.pop_front();
    m_loadHistory.push_back(m_loads);
    std::vector<placement_server> view = std::move(m_views.front());
    m_views.pop_front();
    for (std::size_t i = 0; i < view.size(); ++i)
        updateHints(view[i], i);
    m_views.push_back(std::move(view));
}

void fleet_state::sampleSkew(sim_time now, measurements& figures) const
{
    double most = 0;
    double total = 0;
    double serving = 0;
    for (std::size_t i = 0; i < size(); ++i) {
        if (!isServing(i))
            continue;
        most = std::max(most, static_cast<double>(m_engines[i].load()));
        total += static_cast<double>(m_engines[i].load());
        serving += m_engines[i].warmShare();
        if (figures.counts(now) && isAboveBound(i))
            ++figures.overSampled;
    }
    if (total > 0)
        figures.countSkew(now, most / (total / serving));
}

std::span<const placement_server> fleet_state::view(sim_time delay) const
{
    return m_views[m_views.size() - 1 - std::min(m_views.size() - 1, ticksIn(delay))];
}

// The coming view: leaving servers are gone, and returning ones take all their chats.
void fleet_state::planExports(sim_time now)
{
    if (m_options.exportsPerSecond <= 0)
        return;
    std::vector<placement_server> coming = m_views.back();
    for (std::size_t i = 0; i < size(); ++i) {
        coming[i].acceptsRequests = isServing(i) && !m_engines[i].isLeaving;
        coming[i].ramp = 1;
    }
    for (std::size_t i = 0; i < size(); ++i) {
        if (m_engines[i].isUp && m_engines[i].isReachable)
            m_planners[i].plan(m_engines[i].sketch(now), i, m_views[m_views.size() - 2], coming, toTimePoint(now));
    }
}

void fleet_state::exportSome(sim_time now, measurements& figures)
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
        ++figures.exports;
    }
}

} // namespace radishflow
