// Declares abandoned_attempts, which attributes the crash of a backend server to requests that were no longer awaited there.
#pragma once

#include "radishflow/Admission/crash_record.h"
#include "radishflow/Relay/request_identity.h"
#include "radishflow/Routing/server_list.h"
#include "radishflow/Support/monotonic_clock.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <iterator>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace radishflow {

/// A request whose response the relay stopped awaiting, and the server that may still run it.
struct abandoned_attempt {
    listed_server server;
    request_identity request;
    response_progress progress = response_progress::None;
    time_point abandonedAt {};
    bool hasZoneRestarted = false; ///< Most servers of the availability zone have restarted with the server, which may explain its end.
};

/// Keeps attempts that ended by a timeout or a disconnect of the caller. Their servers may run them later and crash, which
/// breaks no connection of these requests. Not thread-safe.
template <monotonic_clock Clock>
class abandoned_attempts {
public:
    /// Time for which an attempt is kept: a server drops requests at their deadlines, and a crashed one is listed again
    /// within some seconds.
    static constexpr std::chrono::seconds retention { 20 };
    static constexpr std::size_t maxAttempts = 4096;
    /// Time since the listing of a successor after which a crash is reported; until then other servers of the zone may follow.
    static constexpr std::chrono::milliseconds settlingTime { 1500 };
    /// Servers of a zone that were listed within this time have restarted together.
    static constexpr std::chrono::milliseconds zoneRestartTime { 4000 };

    explicit abandoned_attempts(const Clock& clock)
        : m_clock(clock)
    {
    }

    void add(const listed_server& server, const request_identity& request, response_progress progress = response_progress::None)
    {
        if (m_attempts.size() >= maxAttempts)
            m_attempts.erase(m_attempts.begin());
        m_attempts.push_back({ .server = server, .request = request, .progress = progress, .abandonedAt = m_clock.now() });
    }

    /// Returns and forgets the attempts at a process that has crashed.
    std::vector<abandoned_attempt> takeAttemptsAt(const listed_server& crashed)
    {
        return takeIf([&](const listed_server& server) { return isSameProcess(server, crashed); });
    }

    /// Returns and forgets the attempts at processes that the list shows to have crashed: another process has their id or
    /// their address, and no planned exit explains it. `isPlannedExit(server, endedBy)` returns whether a process that has ended by the
    /// given time exited by plan.
    template <typename IsPlannedExit>
    std::vector<abandoned_attempt> takeCrashed(const server_list& list, const IsPlannedExit& isPlannedExit)
    {
        const time_point now = m_clock.now();
        const time_point oldest = now - retention;
        std::erase_if(m_attempts, [&](const abandoned_attempt& attempt) { return attempt.abandonedAt < oldest; });
        if (m_attempts.empty())
            return {};
        std::unordered_map<std::string_view, const listed_server*> byAddress;
        for (const auto& [id, server] : list.servers)
            byAddress.emplace(server.address, &server);
        std::vector<abandoned_attempt> crashed = takeIf([&](const listed_server& server) {
            const listed_server* successor = successorOf(server, list, byAddress);
            return successor && now - successor->listedAt >= settlingTime;
        });
        std::erase_if(crashed, [&](const abandoned_attempt& attempt) { return isPlannedExit(attempt.server, successorOf(attempt.server, list, byAddress)->listedAt); });
        for (abandoned_attempt& attempt : crashed)
            attempt.hasZoneRestarted = hasZoneRestarted(attempt.server.zone, list, now);
        return crashed;
    }

    bool hasAttemptsAt(const listed_server& server) const
    {
        return std::any_of(m_attempts.begin(), m_attempts.end(), [&](const abandoned_attempt& attempt) { return isSameProcess(attempt.server, server); });
    }

private:
    static bool isSameProcess(const listed_server& left, const listed_server& right)
    {
        return left.id == right.id && left.processStartMs == right.processStartMs;
    }

    // An address that a server of another service has says nothing, as addresses of servers that left are reused.
    static const listed_server* successorOf(const listed_server& server, const server_list& list, const std::unordered_map<std::string_view, const listed_server*>& byAddress)
    {
        const auto sameId = list.servers.find(server.id);
        if (sameId != list.servers.end())
            return isSameProcess(sameId->second, server) ? nullptr : &sameId->second;
        const auto sameAddress = byAddress.find(server.address);
        return sameAddress != byAddress.end() && sameAddress->second->service == server.service ? sameAddress->second : nullptr;
    }

    // A zone that lost power comes back with new processes at most of its servers, which no request caused. A request that crashes all
    // servers of a small zone looks the same.
    static bool hasZoneRestarted(const zone_id& zone, const server_list& list, time_point now)
    {
        std::size_t total = 0;
        std::size_t restarted = 0;
        for (const auto& [id, server] : list.servers) {
            if (server.zone != zone)
                continue;
            ++total;
            if (now - server.listedAt < zoneRestartTime)
                ++restarted;
        }
        return restarted > 1 && 2 * restarted >= total;
    }

    template <typename Predicate>
    std::vector<abandoned_attempt> takeIf(Predicate isTaken)
    {
        const auto kept = std::stable_partition(m_attempts.begin(), m_attempts.end(), [&](const abandoned_attempt& attempt) { return !isTaken(attempt.server); });
        std::vector<abandoned_attempt> taken { std::make_move_iterator(kept), std::make_move_iterator(m_attempts.end()) };
        m_attempts.erase(kept, m_attempts.end());
        return taken;
    }

    const Clock& m_clock;
    std::vector<abandoned_attempt> m_attempts; ///< In the order in which they were abandoned.
};

} // namespace radishflow
