// Declares quarantine, which stops requests that crash the servers that run them.
#pragma once

#include "radishflow/Admission/crash_record.h"

#include <algorithm>
#include <cassert>
#include <unordered_map>
#include <vector>

namespace radishflow {

struct quarantine_options {
    duration retention = std::chrono::minutes { 30 }; ///< How long a crash is remembered and a request quarantined.
    std::size_t capacity = 4096; ///< Fingerprints; beyond it those that end first are forgotten.
};

enum class quarantine_state {
    Clear,
    Suspect, ///< In flight at the crash of one server; to run where no other suspect runs.
    Quarantined, ///< In flight at the crashes of two servers; not to run.
};

/// Remembers which requests were in flight at crashes, here and at other daemons. Not thread-safe.
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
        const auto isCurrent = [now = m_clock.now()](const crash& seen) { return seen.endsAt > now; };
        const auto count = std::count_if(found->second.begin(), found->second.end(), isCurrent);
        if (count == 0)
            return quarantine_state::Clear;
        return count == 1 ? quarantine_state::Suspect : quarantine_state::Quarantined;
    }

    /// Returns when a quarantined request may be sent again, for Retry-After.
    duration remaining(const request_fingerprint& fingerprint) const
    {
        const auto found = m_crashes.find(fingerprint);
        if (found == m_crashes.end() || found->second.size() < 2)
            return duration::zero();
        const auto earliest = std::min_element(found->second.begin(), found->second.end(),
            [](const crash& left, const crash& right) { return left.endsAt < right.endsAt; });
        return std::max(earliest->endsAt - m_clock.now(), duration::zero());
    }

    /// A server crashed with these requests in flight.
    void recordCrash(const server_id& server, const std::vector<request_fingerprint>& inFlight)
    {
        for (const request_fingerprint& fingerprint : inFlight)
            remember({ .fingerprint = fingerprint, .server = server, .remaining = m_options.retention });
    }

    /// Returns what became known since the last call, to be spread; what was merged goes on to others too.
    std::vector<crash_record> takeNewRecords() { return std::exchange(m_newRecords, {}); }

    /// Returns all that is known, for a daemon that has just started.
    std::vector<crash_record> allRecords() const
    {
        std::vector<crash_record> entries;
        for (const auto& [fingerprint, crashes] : m_crashes) {
            for (const crash& seen : crashes)
                entries.push_back({ .fingerprint = fingerprint, .server = seen.server, .remaining = seen.endsAt - m_clock.now() });
        }
        std::erase_if(entries, [](const crash_record& entry) { return entry.remaining <= duration::zero(); });
        return entries;
    }

    void merge(const std::vector<crash_record>& entries)
    {
        for (const crash_record& entry : entries)
            remember(entry);
    }

    std::size_t size() const { return m_crashes.size(); }

private:
    /// Crashes of two servers decide; more are not kept.
    static constexpr std::size_t crashesOfQuarantine = 2;

    struct crash {
        server_id server;
        time_point endsAt;
    };

    void remember(const crash_record& record)
    {
        const time_point now = m_clock.now();
        const duration remaining = std::min(record.remaining, m_options.retention);
        if (remaining <= duration::zero())
            return;
        makeRoom(record.fingerprint, now);
        std::vector<crash>& crashes = m_crashes[record.fingerprint];
        std::erase_if(crashes, [&](const crash& seen) { return seen.endsAt <= now; });
        const bool isKnown = std::any_of(crashes.begin(), crashes.end(),
            [&](const crash& seen) { return seen.server == record.server; });
        // What is known keeps its end, or records that travel in circles would last for ever.
        if (isKnown || crashes.size() >= crashesOfQuarantine)
            return;
        crashes.push_back({ .server = record.server, .endsAt = now + remaining });
        m_newRecords.push_back({ .fingerprint = record.fingerprint, .server = record.server, .remaining = remaining });
        if (m_newRecords.size() > m_options.capacity)
            m_newRecords.erase(m_newRecords.begin());
    }

    static time_point lastEnd(const std::vector<crash>& crashes)
    {
        time_point last {};
        for (const crash& seen : crashes)
            last = std::max(last, seen.endsAt);
        return last;
    }

    void makeRoom(const request_fingerprint& newcomer, time_point now)
    {
        if (m_crashes.size() < m_options.capacity || m_crashes.contains(newcomer))
            return;
        std::erase_if(m_crashes, [&](const auto& pair) { return lastEnd(pair.second) <= now; });
        if (m_crashes.size() < m_options.capacity)
            return;
        // Suspects go before quarantined requests, since a suspect that crashes a server again is found again.
        const auto victim = std::min_element(m_crashes.begin(), m_crashes.end(), [](const auto& left, const auto& right) {
            const auto key = [](const auto& pair) { return std::pair { pair.second.size(), lastEnd(pair.second) }; };
            return key(left) < key(right);
        });
        m_crashes.erase(victim);
    }

    const Clock& m_clock;
    quarantine_options m_options;
    std::unordered_map<request_fingerprint, std::vector<crash>> m_crashes;
    std::vector<crash_record> m_newRecords;
};

} // namespace radishflow
