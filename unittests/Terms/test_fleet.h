// Declares a fleet of daemons with separate clocks, one in-memory table, and a record of the requests at one server.
#pragma once

#include "radishflow/Support/manual_clock.h"
#include "radishflow/Terms/ownership_table.h"

#include "table_connection.h"

#include <deque>
#include <map>

namespace radishflow {

/// One daemon of a test fleet.
struct test_daemon {
    test_daemon(memory_table& shared, const std::string& name, const term_options& options, std::uint64_t nonce)
        : table(shared)
        , owners(clock, daemon_id { name }, options, nonce)
        , id(name)
    {
    }

    manual_clock clock;
    table_connection table;
    ownership_table<manual_clock> owners;
    daemon_id id;
    bool isPaused = false;
    std::deque<permit> window; ///< Requests that are admitted and not yet written.
};

/// Daemons "d0", "d1", ... and one backend server "s".
struct test_fleet {
    explicit test_fleet(int count, const term_options& chosen = {}, int limitOfServer = 12)
        : options(chosen)
        , limit(limitOfServer)
    {
        for (int index = 0; index < count; ++index) {
            const std::string name = "d" + std::to_string(index);
            daemons.emplace_back(table, name, options, static_cast<std::uint64_t>(index) + 100);
            view.daemons.push_back({ .daemon = daemon_id { name }, .zone = zone_id { "z" }, .region = region_id { "r" } });
        }
        view.servers.push_back({ .server = server, .zone = zone_id { "z" }, .region = region_id { "r" } });
    }

    /// Advances all clocks; each daemon that is not paused steps every half second.
    void run(duration length)
    {
        constexpr duration tick = std::chrono::milliseconds { 500 };
        for (duration passed {}; passed < length; passed += tick) {
            for (test_daemon& daemon : daemons) {
                daemon.clock.advance(tick);
                if (!daemon.isPaused)
                    daemon.owners.step(daemon.table, view);
            }
        }
    }

    /// Returns the daemon that owns the server in a running term, or null.
    test_daemon* owner()
    {
        for (test_daemon& daemon : daemons) {
            if (!daemon.owners.ownedServers().empty() && daemon.owners.phase() == term_phase::Running)
                return &daemon;
        }
        return nullptr;
    }

    bool admitOne(test_daemon& daemon)
    {
        const permit answer = daemon.owners.admit(server, limit);
        lastReason = answer.reason;
        if (answer.isGranted)
            daemon.window.push_back(answer);
        return answer.isGranted;
    }

    void writeOne(test_daemon& daemon)
    {
        const permit granted = daemon.window.front();
        daemon.window.pop_front();
        daemon.owners.recordStarted(server, granted.term);
        ++running[granted.term];
        maxTotal = std::max(maxTotal, total());
    }

    /// Writes requests until one is refused; returns how many were written.
    int fill(test_daemon& daemon)
    {
        int written = 0;
        for (; admitOne(daemon); ++written)
            writeOne(daemon);
        return written;
    }

    void finishOne(test_daemon& daemon, term_number term)
    {
        daemon.owners.recordFinished(server, term);
        --running[term];
    }

    int total() const
    {
        int sum = 0;
        for (const auto& [term, count] : running)
            sum += count;
        return sum;
    }

    void report(test_daemon& daemon)
    {
        daemon.owners.acceptReport(server, { .takenAfter = daemon.clock.now(), .running = total(), .hasOrigins = true, .runningByOrigin = running });
    }

    term_options options;
    int limit;
    server_id server { "s" };
    memory_table table;
    std::deque<test_daemon> daemons;
    fleet_view view;
    std::map<term_number, int> running; ///< Requests at the server, by term of origin.
    int maxTotal = 0; ///< Highest number of requests that ran at the same time.
    refusal_reason lastReason = refusal_reason::None;
};

} // namespace radishflow
