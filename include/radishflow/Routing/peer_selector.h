// Declares peer_selector, which chooses the daemon that serves a request for a daemon without access to the backend servers.
#pragma once

#include "radishflow/Routing/fleet_view.h"
#include "radishflow/Support/hashing.h"
#include "radishflow/Support/monotonic_clock.h"
#include "radishflow/Support/ranked_mutex.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace radishflow {

/// How a request that was forwarded to a daemon ended there.
enum class peer_outcome {
    Served,
    Refused, ///< The daemon has no capacity for it.
    Failed, ///< The daemon did not respond, or has no access to servers itself.
};

struct peer_selector_options {
    duration maxContactAge = std::chrono::seconds { 3 }; ///< Age up to which a daemon's contact with servers counts.
    duration minLead = std::chrono::milliseconds { 100 }; ///< How much later than this daemon's loss that contact must be.
    duration failurePause = std::chrono::seconds { 1 };
    duration refusalPause = std::chrono::milliseconds { 100 };
    std::size_t maxPeers = 2048; ///< Bounds the memory for statements of daemons.
    std::size_t maxServicesPerPeer = 64;
};

/// Records which daemons state that they reach servers, and how many requests this daemon has forwarded to each. Thread-safe under
/// one lock of rank Statistics.
template <monotonic_clock Clock>
class peer_selector {
public:
    explicit peer_selector(const Clock& clock, const peer_selector_options& options = {})
        : m_clock(clock)
        , m_options(options)
    {
    }

    /// Records that the daemon on a host stated how long ago it reached a server of a service; nothing if it reaches none.
    void recordStatement(const std::string& host, std::uint32_t service, std::optional<duration> contactAge)
    {
        const std::lock_guard lock { m_mutex };
        const time_point now = m_clock.now();
        if (m_peers.size() >= m_options.maxPeers && !m_peers.contains(host))
            std::erase_if(m_peers, [&](const auto& entry) { return entry.second.inFlight == 0 && now - entry.second.statedAt > m_options.maxContactAge; });
        if (m_peers.size() >= m_options.maxPeers && !m_peers.contains(host))
            return;
        peer& stated = m_peers[host];
        if (stated.contacts.size() >= m_options.maxServicesPerPeer && !stated.contacts.contains(service))
            std::erase_if(stated.contacts, [&](const auto& entry) { return now - entry.second > m_options.maxContactAge; });
        if (stated.contacts.size() >= m_options.maxServicesPerPeer && !stated.contacts.contains(service))
            return;
        stated.statedAt = now;
        time_point& contactAt = stated.contacts[service];
        contactAt = contactAge ? std::max(contactAt, now - *contactAge) : time_point {};
    }

    /// Returns whether any daemon has reached a server of the service since this one lost its access.
    bool hasPeer(const fleet_view& fleet, std::uint32_t service, time_point lostAt)
    {
        const std::lock_guard lock { m_mutex };
        return !candidates(fleet, service, lostAt, {}, true).empty();
    }

    /// Chooses one of two daemons, drawn by the number, to which this one has fewer requests in flight. Counts a request as in
    /// flight there until finish().
    std::optional<fleet_daemon> choose(const fleet_view& fleet, std::uint32_t service, time_point lostAt, const std::vector<daemon_id>& excluded, std::uint64_t draw)
    {
        const std::lock_guard lock { m_mutex };
        const auto found = candidates(fleet, service, lostAt, excluded, false);
        if (found.empty())
            return std::nullopt;
        const fleet_daemon* first = found[draw % found.size()];
        const fleet_daemon* second = found[(draw >> 32U) % found.size()];
        const fleet_daemon* chosen = m_peers[hostOf(*second)].inFlight < m_peers[hostOf(*first)].inFlight ? second : first;
        ++m_peers[hostOf(*chosen)].inFlight;
        return *chosen;
    }

    /// Counts a request as in flight at a daemon until finish(); returns false if the daemon failed or refused one a moment ago.
    bool tryStart(const fleet_daemon& daemon)
    {
        const std::lock_guard lock { m_mutex };
        peer& used = m_peers[hostOf(daemon)];
        if (used.pausedUntil > m_clock.now())
            return false;
        ++used.inFlight;
        return true;
    }

    void finish(const fleet_daemon& daemon, peer_outcome outcome)
    {
        const std::lock_guard lock { m_mutex };
        peer& used = m_peers[hostOf(daemon)];
        used.inFlight = std::max(used.inFlight - 1, 0);
        if (outcome != peer_outcome::Served)
            used.pausedUntil = m_clock.now() + (outcome == peer_outcome::Failed ? m_options.failurePause : m_options.refusalPause);
    }

    /// Returns the number of daemons of which statements are held.
    std::size_t peerCount() const
    {
        const std::lock_guard lock { m_mutex };
        return m_peers.size();
    }

private:
    struct peer {
        std::unordered_map<std::uint32_t, time_point> contacts; ///< When it last reached a server of each service, by this daemon's clock.
        time_point statedAt {};
        time_point pausedUntil {};
        int inFlight = 0; ///< Requests that this daemon forwarded to it.
    };

    static std::string hostOf(const fleet_daemon& daemon) { return daemon.callerAddress.substr(0, daemon.callerAddress.find(':')); }

    std::vector<const fleet_daemon*> candidates(const fleet_view& fleet, std::uint32_t service, time_point lostAt, const std::vector<daemon_id>& excluded, bool includesPaused) const
    {
        const time_point now = m_clock.now();
        std::vector<const fleet_daemon*> found;
        for (const fleet_daemon& daemon : fleet.daemons) {
            if (daemon.id == fleet.self || !daemon.acceptsCallers || std::find(excluded.begin(), excluded.end(), daemon.id) != excluded.end())
                continue;
            const auto entry = m_peers.find(hostOf(daemon));
            if (entry == m_peers.end() || (!includesPaused && entry->second.pausedUntil > now))
                continue;
            const auto contact = entry->second.contacts.find(service);
            if (contact != entry->second.contacts.end() && now - contact->second <= m_options.maxContactAge && contact->second - lostAt >= m_options.minLead)
                found.push_back(&daemon);
        }
        return found;
    }

    const Clock& m_clock;
    peer_selector_options m_options;
    mutable ranked_mutex m_mutex { lock_rank::Statistics };
    std::unordered_map<std::string, peer> m_peers; ///< By host.
};

} // namespace radishflow
