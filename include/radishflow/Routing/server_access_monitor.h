// Declares server_access_monitor, which decides whether this daemon has lost the path to all backend servers.
#pragma once

#include "radishflow/Support/ids.h"
#include "radishflow/Support/monotonic_clock.h"
#include "radishflow/Support/ranked_mutex.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstddef>
#include <map>
#include <mutex>
#include <optional>

namespace radishflow {

enum class server_access_state {
    Available,
    Doubtful, ///< Connections to several servers failed, or all servers are silent; probes decide.
    Unavailable, ///< No probe reached a server. Either the path of this daemon is lost, or all servers are down.
};

struct server_access_options {
    duration maxSilence = std::chrono::milliseconds { 500 }; ///< Time without any bytes from servers, while requests wait for them, that raises a doubt.
    duration failureWindow = std::chrono::seconds { 2 }; ///< Failures to connect within this time are seen together.
    std::size_t minFailedServers = 2; ///< Servers to which connections must fail to raise a doubt, so that a single dead server raises none.
    duration probeInterval = std::chrono::milliseconds { 200 }; ///< Between probes while no server is reached.
    duration doubtInterval = std::chrono::seconds { 1 }; ///< Minimum time between two doubts raised by silence.
    std::size_t doubtfulProbes = 2; ///< Failed probes, each of other servers than the one before, after which access is unavailable.
    duration flapWindow = std::chrono::seconds { 10 }; ///< A loss within this time after a recovery lengthens the next recovery.
    int maxSuccesses = 4; ///< Maximum number of successive probes that a recovery takes; together they take less than a second.
};

/// Makes its decisions from the results of connections and probes, without I/O. Thread-safe under one lock of rank Statistics.
template <monotonic_clock Clock>
class server_access_monitor {
public:
    explicit server_access_monitor(const Clock& clock, const server_access_options& options = {})
        : m_clock(clock)
        , m_options(options)
    {
    }

    /// Records that bytes from a server were received.
    void recordContact() { m_lastContact = m_clock.now(); }

    /// Records the start and the end of a request at a server.
    void startExchange()
    {
        if (m_exchanges++ == 0)
            m_waitingSince = m_clock.now();
    }
    void finishExchange() { --m_exchanges; }

    /// Records that a request established a connection to a server.
    void recordConnected()
    {
        recordContact();
        if (!m_hasFailures && m_state == server_access_state::Available)
            return;
        const std::lock_guard lock { m_mutex };
        m_failedServers.clear();
        m_hasFailures = false;
        if (m_state == server_access_state::Doubtful)
            m_state = server_access_state::Available;
    }

    /// Records that a request could not establish a connection to a server. Returns whether a probe is due at once.
    bool recordConnectFailure(const server_id& server, std::size_t listedServers)
    {
        const std::lock_guard lock { m_mutex };
        const time_point now = m_clock.now();
        m_failedServers.insert_or_assign(server, now);
        std::erase_if(m_failedServers, [&](const auto& entry) { return now - entry.second > m_options.failureWindow; });
        m_hasFailures = true;
        if (m_state != server_access_state::Available || m_failedServers.size() < std::min(m_options.minFailedServers, listedServers))
            return false;
        raiseDoubt(now, false);
        return true;
    }

    /// Raises a doubt if no server was reached for longer than the given time; a probe then shows whether one is.
    void checkContact(duration maxAge)
    {
        const std::lock_guard lock { m_mutex };
        const time_point now = m_clock.now();
        if (m_state == server_access_state::Available && now - m_lastContact.load() > maxAge)
            raiseDoubt(now, true);
    }

    /// Returns whether a probe is due. Call it periodically.
    bool isProbeDue()
    {
        const std::lock_guard lock { m_mutex };
        const time_point now = m_clock.now();
        if (m_state == server_access_state::Available && isSilent(now))
            raiseDoubt(now, true);
        return m_state == server_access_state::Doubtful || (m_state == server_access_state::Unavailable && now - m_probedAt >= m_options.probeInterval);
    }

    /// Returns whether the next probe follows a failed one, so that it should cover several servers.
    bool isProbeRepeated() const
    {
        const std::lock_guard lock { m_mutex };
        return m_failedProbes > 0;
    }

    /// Records the result of a probe; returns whether the state changed to or from Unavailable.
    bool recordProbe(bool hasReachedServer)
    {
        const std::lock_guard lock { m_mutex };
        const time_point now = m_clock.now();
        m_probedAt = now;
        if (!hasReachedServer) {
            m_successes = 0;
            if (m_state != server_access_state::Doubtful || ++m_failedProbes < m_options.doubtfulProbes)
                return false;
            m_state = server_access_state::Unavailable;
            m_requiredSuccesses = m_regainedAt && now - *m_regainedAt < m_options.flapWindow ? std::min(2 * m_requiredSuccesses, m_options.maxSuccesses) : 1;
            return true;
        }
        recordContact();
        if (m_state == server_access_state::Unavailable && ++m_successes < m_requiredSuccesses)
            return false;
        const bool wasUnavailable = m_state == server_access_state::Unavailable;
        if (wasUnavailable)
            m_regainedAt = now;
        m_state = server_access_state::Available;
        m_failedServers.clear();
        m_hasFailures = false;
        return wasUnavailable;
    }

    /// Returns whether silence raised the current or last doubt, rather than failed connections.
    bool isDoubtFromSilence() const
    {
        const std::lock_guard lock { m_mutex };
        return m_isSilence;
    }
    /// Returns the number of servers to which connections failed recently.
    std::size_t failedServers() const
    {
        const std::lock_guard lock { m_mutex };
        return m_failedServers.size();
    }
    server_access_state state() const { return m_state; }
    /// Returns when the current or last doubt was raised.
    time_point doubtBeganAt() const { return m_doubtBeganAt; }
    /// Returns how long ago a server was last reached; nothing unless access is available.
    std::optional<duration> contactAge() const
    {
        if (m_state != server_access_state::Available)
            return std::nullopt;
        return std::max(m_clock.now() - m_lastContact.load(), duration::zero());
    }
    /// Returns whether open connections still deliver bytes, although new ones are not established.
    bool hasLiveConnections() const { return m_clock.now() - m_lastContact.load() < m_options.maxSilence; }

private:
    bool isSilent(time_point now) const
    {
        const time_point since = std::max(m_lastContact.load(), m_waitingSince.load());
        return m_exchanges > 0 && now - since > m_options.maxSilence && now - m_doubtBeganAt.load() > m_options.doubtInterval;
    }

    void raiseDoubt(time_point now, bool isSilence)
    {
        m_isSilence = isSilence;
        m_state = server_access_state::Doubtful;
        m_doubtBeganAt = now;
        m_failedProbes = 0;
        m_successes = 0;
    }

    const Clock& m_clock;
    server_access_options m_options;
    std::atomic<time_point> m_lastContact { time_point {} }; ///< The epoch before the first contact.
    std::atomic<time_point> m_waitingSince { time_point {} };
    std::atomic<int> m_exchanges = 0;
    std::atomic<server_access_state> m_state = server_access_state::Available;
    std::atomic<time_point> m_doubtBeganAt { time_point {} };
    std::atomic<bool> m_hasFailures = false;
    mutable ranked_mutex m_mutex { lock_rank::Statistics };
    std::map<server_id, time_point> m_failedServers; ///< When the last connection to each failed, since the last that was established.
    bool m_isSilence = false; ///< Silence raised the current or last doubt.
    std::size_t m_failedProbes = 0; ///< Since the doubt was raised.
    int m_successes = 0; ///< Successive probes that reached a server.
    int m_requiredSuccesses = 1; ///< For the end of the present loss.
    time_point m_probedAt {};
    std::optional<time_point> m_regainedAt;
};

} // namespace radishflow
