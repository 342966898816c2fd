// Implements the part of part_quarantine that decides which prompt parts explain the crashes.
#pragma once

namespace radishflow {

template <monotonic_clock Clock>
std::set<server_id> part_quarantine<Clock>::processesLostWithZones() const
{
    std::map<zone_id, std::map<server_id, time_point>> zones;
    for (const auto& [part, suspected] : m_suspects) {
        for (const crash& recorded : suspected.crashes)
            zones[recorded.zone].emplace(recorded.process, recorded.at);
    }
    std::set<server_id> lost;
    for (const auto& [zone, crashes] : zones) {
        const auto size = m_zoneSizes.find(zone);
        if (size == m_zoneSizes.end())
            continue;
        std::vector<time_point> times;
        times.reserve(crashes.size());
        for (const auto& [process, at] : crashes)
            times.push_back(at);
        std::sort(times.begin(), times.end());
        for (const auto& [process, at] : crashes) {
            const auto simultaneous = std::upper_bound(times.begin(), times.end(), at + m_options.maxSimultaneity) - std::lower_bound(times.begin(), times.end(), at - m_options.maxSimultaneity);
            if (simultaneous > 1 && 2 * static_cast<std::size_t>(simultaneous) >= size->second)
                lost.insert(process);
        }
    }
    return lost;
}

// Requests with a crashing part that come in batches crash the servers of a zone together, as a loss of its power does. But a zone does not lose its
// power again and again while just this part is in flight at several of its servers.
template <monotonic_clock Clock>
bool part_quarantine<Clock>::recursWithZones(std::vector<crash> crashes, const std::set<server_id>& lostWithZone) const
{
    std::erase_if(crashes, [&](const crash& recorded) { return !lostWithZone.contains(recorded.process); });
    std::sort(crashes.begin(), crashes.end(), [](const crash& left, const crash& right) { return left.at < right.at; });
    std::optional<time_point> firstLoss;
    for (std::size_t index = 1; index < crashes.size(); ++index) {
        if (crashes[index].at - crashes[index - 1].at > m_options.maxSimultaneity)
            continue;
        if (firstLoss && crashes[index].at - *firstLoss >= m_options.minRecurrence)
            return true;
        firstLoss = firstLoss.value_or(crashes[index].at);
    }
    return false;
}

// Blames the part with the most crashes for all of them, then the next one for those that remain. Parts with the same
// crashes are blamed together: a request with only one of them shows which one it is.
template <monotonic_clock Clock>
std::vector<quarantined_parts> part_quarantine<Clock>::decide() const
{
    const std::set<server_id> lostWithZone = processesLostWithZones();
    std::vector<suspicion> suspicions;
    for (const auto& [part, candidate] : m_suspects) {
        suspicion suspected { .part = part, .crashes = openCrashes(candidate) };
        suspected.recursWithZones = recursWithZones(suspected.crashes, lostWithZone);
        if (!suspected.recursWithZones)
            std::erase_if(suspected.crashes, [&](const crash& recorded) { return lostWithZone.contains(recorded.process); });
        if (isExplained(suspected))
            suspicions.push_back(std::move(suspected));
    }
    std::vector<quarantined_parts> decided;
    while (true) {
        std::erase_if(suspicions, [&](const suspicion& suspected) { return !isExplained(suspected); });
        const auto worst = std::max_element(suspicions.begin(), suspicions.end(), [](const suspicion& left, const suspicion& right) { return left.crashes.size() < right.crashes.size(); });
        if (worst == suspicions.end())
            return decided;
        const suspicion blamed = *worst;
        quarantined_parts group { .crashes = blamed.crashes.size() };
        for (const suspicion& suspected : suspicions) {
            if (hasSameCrashes(suspected, blamed))
                group.parts.push_back(suspected.part);
        }
        std::sort(group.parts.begin(), group.parts.end());
        decided.push_back(std::move(group));
        for (suspicion& suspected : suspicions)
            std::erase_if(suspected.crashes, [&](const crash& recorded) { return hasProcess(blamed, recorded.process); });
    }
}

} // namespace radishflow
