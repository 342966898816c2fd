// Implements the scenarios.
#include "scenario.h"

#include <algorithm>
#include <random>

namespace radishflow {

static constexpr sim_time settlingTime { 80 }; ///< No event starts before this time.

static std::vector<fleet_change> zoneChanges(const fleet_layout& layout, change_kind out, sim_time from, sim_time to)
{
    std::vector<fleet_change> changes;
    for (const fleet_change& edge : { fleet_change { from, out, 0 }, fleet_change { to, change_kind::Return, 0 } }) {
        for (std::size_t server = 0; server < layout.servers; ++server) {
            if (layout.zoneOf(server) == 0)
                changes.push_back({ edge.at, edge.kind, server });
        }
    }
    return changes;
}

// Each server leaves, crashes once or crashes repeatedly about once in 400 s.
static std::vector<fleet_change> churnChanges(const fleet_layout& layout, sim_time length, std::uint64_t seed)
{
    std::mt19937_64 random { seed };
    std::exponential_distribution pause { static_cast<double>(layout.servers) / 400 };
    std::vector<sim_time> availableAt(layout.servers);
    std::vector<fleet_change> changes;
    for (sim_time at = settlingTime; at < length - sim_time { 30 }; at += sim_time { pause(random) }) {
        const std::size_t server = random() % layout.servers;
        if (at < availableAt[server])
            continue;
        const std::uint64_t kind = random() % 3;
        const int times = kind == 2 ? 3 : 1;
        const sim_time downtime { kind == 0 ? 30.0 : (kind == 1 ? 10.0 : 2.0) };
        for (int i = 0; i < times; ++i) {
            const sim_time start = at + i * sim_time { 5 };
            changes.push_back({ start, kind == 0 ? change_kind::Leave : change_kind::Crash, server });
            changes.push_back({ start + downtime, change_kind::Return, server });
        }
        availableAt[server] = at + sim_time { 40 };
    }
    std::sort(changes.begin(), changes.end(), [](const fleet_change& a, const fleet_change& b) { return a.at < b.at; });
    return changes;
}

scenario findScenario(const std::string& name, const fleet_layout& layout, sim_time length, std::uint64_t seed)
{
    const sim_time end = settlingTime + sim_time { 60 };
    if (name == "steady")
        return { .name = name, .eventStart = settlingTime, .eventEnd = length };
    if (name == "churn")
        return { .name = name, .changes = churnChanges(layout, length, seed), .eventStart = settlingTime, .eventEnd = length };
    if (name == "zone-planned")
        return { .name = name, .changes = zoneChanges(layout, change_kind::Leave, settlingTime, end), .eventStart = settlingTime, .eventEnd = end };
    if (name == "zone-lost")
        return { .name = name, .changes = zoneChanges(layout, change_kind::Lose, settlingTime, end), .eventStart = settlingTime, .eventEnd = end, .lostZone = 0 };
    if (name == "surge")
        return { .name = name, .surgeShare = 0.4, .eventStart = settlingTime, .eventEnd = end };
    return {};
}

} // namespace radishflow
