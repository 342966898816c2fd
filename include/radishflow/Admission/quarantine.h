// Declares quarantine, which blocks requests that crash the servers that run them.
#pragma once

#include "radishflow/Admission/crash_record.h"

#include <algorithm>
#include <cassert>
#include <optional>
#include <unordered_map>
#include <vector>

namespace radishflow {

struct quarantine_options {
    duration retention = std::chrono::minutes { 30 }; ///< How long a crash is kept, and thus how long a request is quarantined.
    std::size_t capacity = 4096; ///< Maximum number of fingerprints; beyond it suspects are evicted before quarantined requests, the first to expire first.
};

enum class quarantine_state {
    Clear,
    Suspect, ///< In flight at too few crashes to be blamed; may only run on a server that runs no other suspect.
    Quarantined, ///< In flight at the crashes of two servers, or of more if some of them had made progress on it; must not run.
};

/// Keeps which requests were in flight at crashes that this daemon or others detected. A request that crashes servers does so as it
/// begins to run, so a crash after steady progress weighs less. Not thread-safe.
template <monotonic_clock Clock>
class quarantine {
public:
    quarantine(const Clock& clock, const quarantine_options& options)
        : m_clock(clock)
        , m_options(options)
    {
    }

    quarantine_state stateOf(const request_fingerprint& fingerprint) const
    {
        const auto found = m_crashes.find(fingerprint);
        if (found == m_crashes.end())
            return quarantine_state::Clear;
        const int weight = weightAt(found->second, m_clock.now());
        if (weight == 0)
            return quarantine_state::Clear;
        return weight < quarantineWeight ? quarantine_state::Suspect : quarantine_state::Quarantined;
    }

    /// Returns the time until a quarantined request may be sent again, for Retry-After.
    duration remaining(const request_fingerprint& fingerprint) const
    {
        const auto found = m_crashes.find(fingerprint);
        if (found == m_crashes.end())
            return duration::zero();
        const time_point now = m_clock.now();
        time_point end = now;
        for (const crash& recorded : found->second) {
            // The quarantine ends with the last crash without which the later ones do not suffice.
            if (recorded.expiresAt > end && weightAt(found->second, recorded.expiresAt - duration { 1 }) >= quarantineWeight)
                end = recorded.expiresAt;
        }
        return end - now;
    }

    /// Returns the time since the first crash of a request that still counts; nothing if there is none.
    std::optional<duration> ageOfFirstCrash(const request_fingerprint& fingerprint) const
    {
        const auto found = m_crashes.find(fingerprint);
        const time_point now = m_clock.now();
        std::optional<duration> age;
        for (const crash& recorded : found == m_crashes.end() ? std::vector<crash> {} : found->second) {
            if (recorded.expiresAt > now)
                age = std::max(age.value_or(duration::zero()), m_options.retention - (recorded.expiresAt - now));
        }
        return age;
    }

    /// Records that a server crashed with these requests in flight.
    void recordCrash(const server_id& server, const std::vector<request_fingerprint>& inFlight, response_progress progress = response_progress::None)
    {
        for (const request_fingerprint& fingerprint : inFlight)
            add({ .fingerprint = fingerprint, .server = server, .remaining = m_options.retention, .progress = progress }, true);
    }

    /// Removes the crashes of a server that are recorded from the given time on, since its exit was planned. Returns those that this daemon
    /// detected.
    std::vector<crash_record> withdraw(const server_id& server, time_point from)
    {
        std::vector<crash_record> withdrawn;
        for (auto next = m_crashes.begin(); next != m_crashes.end();) {
            const auto current = next++;
            const request_fingerprint& fingerprint = current->first;
            const auto isWithdrawn = [&](const crash& recorded) { return recorded.server == server && recorded.expiresAt - m_options.retention >= from; };
            for (const crash& recorded : current->second) {
                if (isWithdrawn(recorded) && recorded.isOwn)
                    withdrawn.push_back({ .fingerprint = fingerprint, .server = server });
            }
            if (std::erase_if(current->second, isWithdrawn) == 0)
                continue;
            std::erase_if(m_newRecords, [&](const crash_record& record) { return record.fingerprint == fingerprint && record.server == server; });
            if (current->second.empty())
                m_crashes.erase(current);
        }
        return withdrawn;
    }

    /// Returns and clears the records added since the last call, merged ones included, to be sent to other daemons.
    std::vector<crash_record> takeNewRecords() { return std::exchange(m_newRecords, {}); }

    /// Sets the remaining time of records, which may have waited to be sent, as of now.
    void updateRemaining(std::vector<crash_record>& records) const
    {
        for (crash_record& record : records) {
            const auto found = m_crashes.find(record.fingerprint);
            if (found == m_crashes.end())
                continue;
            for (const crash& recorded : found->second) {
                if (recorded.server == record.server)
                    record.remaining = recorded.expiresAt - m_clock.now();
            }
        }
    }

    /// Returns all current records, for a daemon that has just started.
    std::vector<crash_record> allRecords() const
    {
        std::vector<crash_record> entries;
        for (const auto& [fingerprint, crashes] : m_crashes) {
            for (const crash& recorded : crashes)
                entries.push_back({ .fingerprint = fingerprint, .server = recorded.server, .remaining = recorded.expiresAt - m_clock.now(), .progress = recorded.progress });
        }
        std::erase_if(entries, [](const crash_record& entry) { return entry.remaining <= duration::zero(); });
        return entries;
    }

    /// Adds records received from another daemon.
    void merge(const std::vector<crash_record>& entries)
    {
        for (const crash_record& entry : entries)
            add(entry, false);
    }

    std::size_t size() const { return m_crashes.size(); }

private:
    // Two crashes without progress quarantine a request, five with it, or one without and three with it.
    static constexpr int weightWithoutProgress = 5;
    static constexpr int weightWithProgress = 2;
    static constexpr int quarantineWeight = 10; ///< Further crashes are not kept.

    struct crash {
        server_id server;
        time_point expiresAt;
        response_progress progress = response_progress::None;
        bool isOwn = false; ///< Detected by this daemon.
    };

    static int weightAt(const std::vector<crash>& crashes, time_point at)
    {
        int weight = 0;
        for (const crash& recorded : crashes) {
            if (recorded.expiresAt > at)
                weight += recorded.progress == response_progress::Steady ? weightWithProgress : weightWithoutProgress;
        }
        return weight;
    }

    void add(const crash_record& record, bool isOwn)
    {
        const time_point now = m_clock.now();
        const duration remaining = std::min(record.remaining, m_options.retention);
        if (remaining <= duration::zero())
            return;
        evictIfFull(record.fingerprint, now);
        std::vector<crash>& crashes = m_crashes[record.fingerprint];
        std::erase_if(crashes, [&](const crash& recorded) { return recorded.expiresAt <= now; });
        const auto recorded = std::find_if(crashes.begin(), crashes.end(), [&](const crash& known) { return known.server == record.server; });
        // A crash that is already recorded keeps its expiry time: records that daemons send to each other in a cycle would
        // otherwise never expire. Of two attempts at the same process the one without progress counts.
        if (recorded != crashes.end()) {
            if (recorded->progress <= record.progress)
                return;
            recorded->progress = record.progress;
            recorded->isOwn |= isOwn;
        } else {
            if (weightAt(crashes, now) >= quarantineWeight)
                return;
            crashes.push_back({ .server = record.server, .expiresAt = now + remaining, .progress = record.progress, .isOwn = isOwn });
        }
        m_newRecords.push_back({ .fingerprint = record.fingerprint, .server = record.server, .remaining = remaining, .progress = record.progress });
        if (m_newRecords.size() > m_options.capacity)
            m_newRecords.erase(m_newRecords.begin());
    }

    static time_point lastExpiry(const std::vector<crash>& crashes)
    {
        time_point last {};
        for (const crash& recorded : crashes)
            last = std::max(last, recorded.expiresAt);
        return last;
    }

    void evictIfFull(const request_fingerprint& added, time_point now)
    {
        if (m_crashes.size() < m_options.capacity || m_crashes.contains(added))
            return;
        std::erase_if(m_crashes, [&](const auto& pair) { return lastExpiry(pair.second) <= now; });
        if (m_crashes.size() < m_options.capacity)
            return;
        // Suspects are evicted before quarantined requests: a suspect that crashes another server is detected again.
        const auto evicted = std::min_element(m_crashes.begin(), m_crashes.end(), [](const auto& left, const auto& right) {
            const auto key = [](const auto& pair) { return std::pair { weightAt(pair.second, {}), lastExpiry(pair.second) }; };
            return key(left) < key(right);
        });
        m_crashes.erase(evicted);
    }

    const Clock& m_clock;
    quarantine_options m_options;
    std::unordered_map<request_fingerprint, std::vector<crash>> m_crashes;
    std::vector<crash_record> m_newRecords;
};

} // namespace radishflow
