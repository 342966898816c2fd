// Declares part_quarantine, which finds the prompt parts that crash backend servers.
#pragma once

#include "radishflow/Admission/part_evidence.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <iterator>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace radishflow {

struct part_quarantine_options {
    duration retention = std::chrono::minutes { 30 }; ///< How long a crash counts.
    /// Crashes within this time count as one, and as none if half of the servers of an availability zone are among them, as
    /// when the zone loses power.
    duration maxSimultaneity = std::chrono::milliseconds { 300 };
    int minSeparateCrashes = 3; ///< From which a part is quarantined.
    /// Time between two losses of half of a zone's servers after which a part counts that was in flight at several of them both times, and of which
    /// no response came in between. Longer than nearly all responses take.
    duration minRecurrence = std::chrono::seconds { 3 };
    duration writeDelay = std::chrono::milliseconds { 500 }; ///< Time for a response to clear a part before its crash is written to the store.
    std::size_t maxSuspects = 4096;
};

/// Decides which prompt parts crash servers. All parts of the requests in flight at a crash are suspects, except the last one
/// of each prompt, which is its own; a complete response clears the parts of its request. The suspect with the most crashes
/// since explains these, so parts that were only in flight beside it are not blamed for them. Not thread-safe.
template <monotonic_clock Clock>
class part_quarantine {
public:
    explicit part_quarantine(const Clock& clock, const part_quarantine_options& options = {})
        : m_clock(clock)
        , m_options(options)
    {
    }

    /// Records that a process of a server crashed with these parts in flight.
    void recordCrash(const server_id& process, const zone_id& zone, const std::vector<std::uint64_t>& parts)
    {
        for (const std::uint64_t part : parts) {
            if (addCrash(part, { .process = process, .zone = zone, .at = m_clock.now(), .isOwn = true }))
                m_unsent.push_back({ .evidence = { .part = part, .process = process, .zone = zone }, .at = m_clock.now() });
        }
    }

    /// Updates the number of servers in each availability zone. The largest one counts, as crashed servers are not listed.
    void updateZoneSizes(const std::map<zone_id, std::size_t>& sizes)
    {
        for (const auto& [zone, size] : sizes) {
            std::size_t& largest = m_zoneSizes[zone];
            m_hasChanged |= size > largest;
            largest = std::max(largest, size);
        }
    }

    /// Records a complete response.
    void recordServed(const std::vector<std::uint64_t>& parts)
    {
        const time_point now = m_clock.now();
        for (const std::uint64_t part : parts) {
            const auto found = m_suspects.find(part);
            if (found == m_suspects.end())
                continue;
            suspect& cleared = found->second;
            const bool isUnpublished = std::any_of(cleared.crashes.begin(), cleared.crashes.end(), [&](const crash& recorded) { return recorded.at > cleared.publishedServedAt; });
            clear(cleared, now, true);
            if (!isUnpublished)
                continue;
            cleared.publishedServedAt = now;
            m_unsent.push_back({ .evidence = { .part = part }, .at = now });
        }
    }

    /// Returns whether a part was in flight at a crash and has not been cleared since.
    bool hasSuspect(const std::vector<std::uint64_t>& parts) const
    {
        return std::any_of(parts.begin(), parts.end(), [&](std::uint64_t part) { return hasOpenCrash(part); });
    }

    /// Returns whether a request with these parts is to be refused, as it would crash its server.
    bool isQuarantined(const std::vector<std::uint64_t>& parts)
    {
        if (parts.empty())
            return false;
        return std::any_of(quarantined().begin(), quarantined().end(), [&](const quarantined_parts& group) {
            return std::all_of(group.parts.begin(), group.parts.end(), [&](std::uint64_t part) { return std::find(parts.begin(), parts.end(), part) != parts.end(); });
        });
    }

    /// Returns the present decision; each entry alone is a reason to refuse a request.
    const std::vector<quarantined_parts>& quarantined()
    {
        if (std::exchange(m_hasChanged, false))
            m_quarantined = decide();
        return m_quarantined;
    }

    /// Returns the evidence recorded by this daemon since the last call, to be sent to the other daemons.
    std::vector<part_evidence> takeNewEvidence()
    {
        std::vector<part_evidence> taken;
        taken.reserve(m_unsent.size());
        for (const auto& [evidence, at] : m_unsent)
            taken.push_back({ .part = evidence.part, .process = evidence.process, .zone = evidence.zone, .age = m_clock.now() - at });
        m_unsent.clear();
        return taken;
    }

    /// Adds evidence of other daemons. They send it to all, so this daemon does not send the same.
    void merge(const std::vector<part_evidence>& received)
    {
        for (const part_evidence& evidence : received) {
            mergeOne(evidence, false);
            std::erase_if(m_unsent, [&](const unsent_evidence& own) { return own.evidence.part == evidence.part && own.evidence.process == evidence.process && (evidence.isCrash() || clearsAllCrashes(evidence)); });
        }
    }

    /// Adds crashes read from the fleet's table.
    void mergeTable(const std::vector<part_evidence>& rows)
    {
        for (const part_evidence& row : rows)
            mergeOne(row, true);
    }

    /// Drops crashes that another daemon removed from the table because a response has cleared them.
    void removeFromTable(const std::vector<part_evidence>& rows)
    {
        for (const part_evidence& row : rows) {
            const auto found = m_suspects.find(row.part);
            if (found == m_suspects.end())
                continue;
            m_hasChanged |= std::erase_if(found->second.crashes, [&](const crash& recorded) { return recorded.process == row.process; }) > 0;
            eraseIfUnused(found);
        }
    }

    /// Removes the crashes of a process that are recorded from the given time on, since its exit was planned. The rows that this daemon
    /// wrote for them are removed by the next takeTableChanges().
    void withdraw(const server_id& process, time_point from)
    {
        for (auto next = m_suspects.begin(); next != m_suspects.end();) {
            const auto current = next++;
            const auto isWithdrawn = [&](const crash& recorded) { return recorded.process == process && recorded.at >= from; };
            for (const crash& recorded : current->second.crashes) {
                if (isWithdrawn(recorded) && recorded.isInTable && recorded.isOwn)
                    m_withdrawnRows.push_back({ .part = current->first, .process = process, .zone = recorded.zone });
            }
            m_hasChanged |= std::erase_if(current->second.crashes, isWithdrawn) > 0;
            eraseIfUnused(current);
        }
        std::erase_if(m_unsent, [&](const unsent_evidence& own) { return own.evidence.process == process && own.at >= from; });
    }

    /// Returns the changes of the fleet's table that this daemon has to make. Call it periodically.
    part_table_changes takeTableChanges()
    {
        const time_point now = m_clock.now();
        part_table_changes changes { .removed = std::exchange(m_withdrawnRows, {}) };
        for (auto next = m_suspects.begin(); next != m_suspects.end();) {
            const auto current = next++;
            suspect& changed = current->second;
            m_hasChanged |= std::erase_if(changed.crashes, [&](const crash& recorded) { return now - recorded.at >= m_options.retention; }) > 0;
            for (crash& recorded : changed.crashes) {
                if (!recorded.isInTable && recorded.isOwn && recorded.at > changed.servedAt && now - recorded.at >= m_options.writeDelay) {
                    recorded.isInTable = true;
                    changes.added.push_back({ .part = current->first, .process = recorded.process, .zone = recorded.zone, .age = now - recorded.at });
                }
            }
            std::erase_if(changed.crashes, [&](const crash& recorded) {
                if (recorded.at > changed.servedAt)
                    return false;
                if (recorded.isInTable && changed.isServedHere)
                    changes.removed.push_back({ .part = current->first, .process = recorded.process, .zone = recorded.zone });
                return true;
            });
            eraseIfUnused(current);
        }
        return changes;
    }

    std::size_t size() const { return m_suspects.size(); }

private:
    /// Further crashes of a suspect change no decision.
    static constexpr std::size_t maxCrashesPerSuspect = 64;

    struct crash {
        server_id process;
        zone_id zone;
        time_point at {};
        bool isOwn = false; ///< Detected by this daemon.
        bool isInTable = false;
    };

    struct suspect {
        std::vector<crash> crashes;
        time_point servedAt {}; ///< Of the last complete response known; earlier crashes do not count.
        time_point publishedServedAt {}; ///< Of the last one that this daemon sent or received.
        bool isServedHere = false; ///< This daemon forwarded the last response, and removes the cleared crashes from the table.
    };

    struct unsent_evidence {
        part_evidence evidence; ///< Without its age.
        time_point at {}; ///< Of the crash or the response.
    };

    using suspect_map = std::unordered_map<std::uint64_t, suspect>;

    struct suspicion {
        std::uint64_t part = 0;
        std::vector<crash> crashes; ///< Not cleared and not explained by another part.
        bool recursWithZones = false; ///< The losses of several servers of a zone at once are explained by the part rather than by the zone's power.
    };

    bool hasOpenCrash(std::uint64_t part) const
    {
        const auto found = m_suspects.find(part);
        return found != m_suspects.end() && !openCrashes(found->second).empty();
    }

    bool clearsAllCrashes(const part_evidence& response) const
    {
        const auto found = m_suspects.find(response.part);
        const time_point at = m_clock.now() - response.age;
        return found == m_suspects.end() || std::none_of(found->second.crashes.begin(), found->second.crashes.end(), [&](const crash& recorded) { return recorded.at > at; });
    }

    std::vector<crash> openCrashes(const suspect& candidate) const
    {
        std::vector<crash> open;
        std::copy_if(candidate.crashes.begin(), candidate.crashes.end(), std::back_inserter(open), [&](const crash& recorded) { return recorded.at > candidate.servedAt; });
        return open;
    }

    bool addCrash(std::uint64_t part, const crash& added)
    {
        if (!m_suspects.contains(part))
            evictIfFull();
        suspect& suspected = m_suspects[part];
        const auto known = std::find_if(suspected.crashes.begin(), suspected.crashes.end(), [&](const crash& recorded) { return recorded.process == added.process; });
        if (known != suspected.crashes.end()) {
            known->isInTable |= added.isInTable;
            // A datagram that waited while this daemon was paused makes a crash look later than it was.
            if (added.at < known->at) {
                known->at = added.at;
                m_hasChanged = true;
            }
            return false;
        }
        if (suspected.crashes.size() >= maxCrashesPerSuspect)
            return false;
        suspected.crashes.push_back(added);
        m_hasChanged = true;
        return true;
    }

    void mergeOne(const part_evidence& evidence, bool isInTable)
    {
        const time_point at = m_clock.now() - std::max(evidence.age, duration::zero());
        if (evidence.isCrash()) {
            if (evidence.age < m_options.retention)
                addCrash(evidence.part, { .process = evidence.process, .zone = evidence.zone, .at = at, .isInTable = isInTable });
            return;
        }
        const auto found = m_suspects.find(evidence.part);
        if (found == m_suspects.end())
            return;
        found->second.publishedServedAt = std::max(found->second.publishedServedAt, at);
        clear(found->second, at, false);
    }

    void clear(suspect& cleared, time_point at, bool isServedHere)
    {
        if (at <= cleared.servedAt)
            return;
        cleared.servedAt = at;
        cleared.isServedHere = isServedHere;
        m_hasChanged = true;
    }

    // A cleared suspect is kept while a late record of an earlier crash may arrive.
    void eraseIfUnused(typename suspect_map::iterator entry)
    {
        static constexpr std::chrono::seconds maxRecordDelay { 30 };
        if (entry->second.crashes.empty() && m_clock.now() - entry->second.servedAt >= maxRecordDelay)
            m_suspects.erase(entry);
    }

    void evictIfFull()
    {
        if (m_suspects.size() < m_options.maxSuspects)
            return;
        m_suspects.erase(std::min_element(m_suspects.begin(), m_suspects.end(), [](const auto& left, const auto& right) { return left.second.crashes.size() < right.second.crashes.size(); }));
        m_hasChanged = true;
    }

    int separateCrashes(const std::vector<crash>& crashes) const
    {
        std::vector<time_point> times;
        times.reserve(crashes.size());
        for (const crash& recorded : crashes)
            times.push_back(recorded.at);
        std::sort(times.begin(), times.end());
        int count = 0;
        time_point first {};
        for (const time_point at : times) {
            if (count > 0 && at - first <= m_options.maxSimultaneity)
                continue;
            first = at;
            ++count;
        }
        return count;
    }

    /// Returns the processes that crashed together with at least half of the servers of their zone.
    std::set<server_id> processesLostWithZones() const;

    /// Returns whether a part was in flight at several of the servers in repeated losses of a zone, so that it explains them.
    bool recursWithZones(std::vector<crash> crashes, const std::set<server_id>& lostWithZone) const;

    bool isExplained(const suspicion& suspected) const
    {
        return suspected.recursWithZones ? !suspected.crashes.empty() : separateCrashes(suspected.crashes) >= m_options.minSeparateCrashes;
    }

    static bool hasProcess(const suspicion& suspected, const server_id& process)
    {
        return std::any_of(suspected.crashes.begin(), suspected.crashes.end(), [&](const crash& recorded) { return recorded.process == process; });
    }

    static bool hasSameCrashes(const suspicion& left, const suspicion& right)
    {
        return left.crashes.size() == right.crashes.size()
            && std::all_of(left.crashes.begin(), left.crashes.end(), [&](const crash& recorded) { return hasProcess(right, recorded.process); });
    }

    std::vector<quarantined_parts> decide() const;

    const Clock& m_clock;
    part_quarantine_options m_options;
    suspect_map m_suspects;
    std::vector<quarantined_parts> m_quarantined;
    bool m_hasChanged = false;
    std::vector<unsent_evidence> m_unsent;
    std::vector<part_evidence> m_withdrawnRows; ///< To be removed from the table.
    std::map<zone_id, std::size_t> m_zoneSizes; ///< Largest number of servers listed at one time.
};

} // namespace radishflow

#include "radishflow/Admission/part_quarantine_decision.h"
