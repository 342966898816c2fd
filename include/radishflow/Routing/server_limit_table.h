// Declares server_limit_table, which keeps this daemon to its share of the request rates that backend servers take.
#pragma once

#include "radishflow/Routing/fleet_view.h"
#include "radishflow/Routing/limit_event.h"
#include "radishflow/Routing/listed_server.h"
#include "radishflow/Routing/shared_limit.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace radishflow {

struct server_limit_table_options {
    duration publishInterval = std::chrono::seconds { 1 }; ///< Minimum time between two updates of an unchanged limit.
    duration memory = std::chrono::minutes { 1 }; ///< Time for which the end of a limit is published.
    duration senderInterval = std::chrono::seconds { 1 }; ///< Interval at which the senders of a server are selected anew, as daemons join and leave.
    duration probeInterval = std::chrono::seconds { 4 }; ///< Time without a statement after which a limited server is probed.
    duration eventInterval = std::chrono::seconds { 5 }; ///< Minimum time between two events of a server whose limit binds.
};

/// Returns the number of daemons that share the request rate of a limited server.
std::size_t limitSenderCount(const fleet_view&, double requestsPerSecond);

/// Keeps the request limits that processes of servers have stated to this daemon or to others, and a token bucket for each.
///
/// A few daemons, the senders, share the rate of a server. All daemons select the same ones by hash. With hundreds of daemons,
/// equal shares for all would be less than a request each in the time over which the platform judges. Not thread-safe.
class server_limit_table {
public:
    explicit server_limit_table(const server_limit_table_options& options = {})
        : m_options(options)
    {
    }

    /// Records the limit in a response of the server; a response without one ends its limit.
    void record(const listed_server&, std::optional<double> requestsPerSecond, time_point now);
    /// Records a limit that another daemon published, unless a newer statement of the server is known. A limit that this daemon
    /// did not know is published again, as in a large fleet an update reaches few daemons.
    void merge(const listed_server&, const shared_limit&, time_point now);
    /// Discards servers that are not listed.
    template <typename IsListed>
    void retain(const IsListed& isListed)
    {
        std::erase_if(m_entries, [&](const auto& pair) { return !isListed(pair.first); });
    }

    /// Returns whether no server has stated a limit lately.
    bool isEmpty() const { return m_entries.empty(); }
    bool isLimited(const listed_server&) const;
    /// Returns the time until this daemon may send to the server: zero for now, nothing if other daemons share its rate.
    std::optional<duration> timeToSend(const listed_server&, const fleet_view&, time_point now);
    /// Returns whether the next request should go to a limited server to find out whether its limit still holds, as requests may
    /// otherwise all prefer other servers.
    bool needsProbe(const listed_server&, time_point now) const;
    /// Returns this daemon's share of a limited server's rate, in requests per second.
    double shareOf(const listed_server&, const fleet_view&, time_point now);
    /// Counts a request that is sent to the server.
    void consumeToken(const listed_server&, const fleet_view&, time_point now);
    /// Counts a request for which the server is left out because of its limit.
    void countSkip(const listed_server&);

    /// Returns the limits to publish to other daemons, changed ones first.
    std::vector<shared_limit> takeUpdates(time_point now);
    /// Returns what to log since the last call.
    std::vector<limit_event> takeEvents(time_point now);
    /// Returns the number of servers that have a limit.
    std::size_t limitedServers() const;

private:
    struct entry {
        std::int64_t processStartMs = 0;
        std::optional<double> requestsPerSecond;
        time_point statedAt {}; ///< When the server made its last known statement.
        time_point limitedAt {}; ///< When the server last stated a limit.
        bool isChanged = false; ///< Not published since the last change.
        bool isOwnStatement = false; ///< The last statement came with a response to this daemon.
        time_point publishedAt {};
        bool isSender = false;
        std::size_t senders = 1;
        std::optional<time_point> sendersSelectedAt;
        double tokens = 0;
        time_point refilledAt {};
        int skips = 0; ///< Since the last event.
        time_point bindingLoggedAt {};
    };

    entry* find(const listed_server&);
    const entry* find(const listed_server&) const;
    /// Replaces what is known of a server by a newer statement of it.
    void applyStatement(const listed_server&, entry&, std::optional<double> requestsPerSecond, time_point statedAt, bool isOwn);
    void selectSenders(const listed_server&, entry&, const fleet_view&, time_point now) const;
    void refill(const listed_server&, entry&, const fleet_view&, time_point now);

    server_limit_table_options m_options;
    std::unordered_map<server_id, entry> m_entries;
    std::vector<limit_event> m_events;
};

} // namespace radishflow
