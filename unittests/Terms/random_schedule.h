// A random schedule of daemons, faults and one backend server, judged by what runs at the server.
#pragma once

#include "fault_profile.h"
#include "test_fleet.h"

#include <array>
#include <memory>
#include <random>

namespace radishflow {

/// Drives the real decisions through what models/residual_allowance.pml allows: pauses between any two steps, cuts,
/// a dark table, lost and late writes, returns, restarts, releases, and a limit that falls and rises.
class random_schedule {
public:
    static constexpr int limit = 12;
    static constexpr int lowLimit = 4;

    random_schedule(std::uint64_t seed, const term_options& options, int count = 3)
        : m_options(options)
        , m_random(seed)
        , m_profile(profiles.at(seed % profiles.size()))
        , m_limitSeen(static_cast<std::size_t>(count), limit)
    {
        for (int index = 0; index < count; ++index) {
            const std::string name = "d" + std::to_string(index);
            m_view.daemons.push_back({ .daemon = daemon_id { name }, .zone = zone_id { "z" }, .region = region_id { "r" } });
            m_daemons.push_back(start(index));
        }
        m_view.servers.push_back({ .server = m_server, .zone = zone_id { "z" }, .region = region_id { "r" } });
    }

    /// Returns false as soon as more runs at the server than it bears.
    bool run(int steps)
    {
        for (int step = 0; step < steps && m_holds; ++step)
            act();
        return m_holds;
    }

    std::uint64_t highestTerm() const { return m_highestTerm; }
    int written() const { return m_written; }

private:
    static constexpr std::array<fault_profile, 6> profiles { {
        {},
        { .limitFalls = true },
        { .delayedCalls = 60 },
        { .delayedCalls = 60, .cutsInCalls = 100 },
        { .cutsInCalls = 60 },
        { .delayedCalls = 100, .cutsInCalls = 300, .limitFalls = true },
    } };

    bool isDue(int oneInSoMany) { return oneInSoMany > 0 && oneIn(oneInSoMany); }

    struct running_request {
        term_number term;
        const test_daemon* daemon = nullptr;
        bool isFresh = false; ///< Admitted by a daemon that had noticed the fall of the limit.
    };

    struct late_report {
        const test_daemon* daemon = nullptr;
        load_report report;
    };

    int below(int end) { return std::uniform_int_distribution<int> { 0, end - 1 }(m_random); }
    bool oneIn(int count) { return below(count) == 0; }

    std::unique_ptr<test_daemon> start(int index)
    {
        auto daemon = std::make_unique<test_daemon>(m_table, "d" + std::to_string(index), m_options, m_random());
        daemon->table.duringCall = [this, table = &daemon->table] {
            if (!m_isInCall && isDue(m_profile.delayedCalls))
                passDuringCall();
            if (isDue(m_profile.cutsInCalls))
                table->isCut = true; // Between two calls of one step.
        };
        return daemon;
    }

    // While one daemon waits for the table, the others go on, and so do its other threads.
    void passDuringCall()
    {
        m_isInCall = true;
        for (int round = below(100); round > 0 && m_holds; --round)
            act();
        m_isInCall = false;
    }

    void passTime(duration length)
    {
        for (std::size_t index = 0; index < m_daemons.size(); ++index)
            m_daemons[index]->clock.advance(length + length / 100 * static_cast<int>(index)); // Clocks drift.
    }

    test_daemon& any() { return *m_daemons[static_cast<std::size_t>(below(static_cast<int>(m_daemons.size())))]; }

    std::size_t indexOf(const test_daemon& daemon) const
    {
        const auto isIt = [&](const std::unique_ptr<test_daemon>& each) { return each.get() == &daemon; };
        return static_cast<std::size_t>(std::find_if(m_daemons.begin(), m_daemons.end(), isIt) - m_daemons.begin());
    }

    void step(std::size_t index)
    {
        test_daemon& daemon = *m_daemons[index];
        if (daemon.isPaused || m_stepping == &daemon)
            return;
        const test_daemon* outer = std::exchange(m_stepping, &daemon);
        daemon.owners.step(daemon.table, m_view);
        m_stepping = outer;
        if (daemon.owners.isStopped())
            restart(index);
    }

    void act()
    {
        const int choice = below(1000);
        if (choice < 200)
            return passTime(std::chrono::milliseconds { 100 + below(1900) });
        if (choice < 450)
            return stepAll();
        if (choice < 700)
            return checkOrWrite(any());
        if (choice < 800)
            return finishOne();
        if (choice < 880)
            return report();
        if (choice < 985)
            return disturb(any());
        disturbFleet();
    }

    void stepAll()
    {
        for (std::size_t index = 0; index < m_daemons.size() && m_holds; ++index)
            step(index);
    }

    void checkOrWrite(test_daemon& daemon)
    {
        // The daemon is as likely to fill the server as to send once, so that limits are met.
        for (int times = oneIn(2) ? limit : 1; times > 0 && m_holds; --times) {
            if (!daemon.isPaused && oneIn(2))
                check(daemon);
            else if (!daemon.window.empty() && !daemon.isPaused)
                write(daemon);
        }
    }

    void check(test_daemon& daemon)
    {
        const int seen = m_limitSeen[indexOf(daemon)];
        permit answer = daemon.owners.admit(m_server, seen);
        if (!answer.isGranted)
            return;
        m_highestTerm = std::max(m_highestTerm, answer.term.value());
        answer.allowed = m_isLow && seen == lowLimit ? m_fall : 0; // Marks a fresh one by the fall that it knows.
        daemon.window.push_back(answer);
    }

    void write(test_daemon& daemon)
    {
        const permit granted = daemon.window.front();
        daemon.window.pop_front();
        daemon.owners.recordStarted(m_server, granted.term);
        m_running.push_back({ .term = granted.term, .daemon = &daemon, .isFresh = m_isLow && granted.allowed == m_fall });
        ++m_written;
        const auto fresh = std::count_if(m_running.begin(), m_running.end(), [](const running_request& each) { return each.isFresh; });
        m_holds = m_running.size() <= limit && fresh <= lowLimit;
    }

    void finishOne()
    {
        if (m_running.empty())
            return;
        const auto which = m_running.begin() + below(static_cast<int>(m_running.size()));
        end(*which);
        m_running.erase(which);
    }

    void end(const running_request& request)
    {
        for (const std::unique_ptr<test_daemon>& daemon : m_daemons) {
            if (daemon.get() == request.daemon)
                daemon->owners.recordFinished(m_server, request.term);
        }
    }

    // Reports are taken now and may arrive later, also after a newer one.
    void report()
    {
        for (const std::unique_ptr<test_daemon>& daemon : m_daemons) {
            load_report report { .takenAfter = daemon->clock.now(), .running = static_cast<int>(m_running.size()), .hasOrigins = true };
            for (const running_request& request : m_running)
                ++report.runningByOrigin[request.term];
            m_reports.push_back({ .daemon = daemon.get(), .report = report });
        }
        if (oneIn(4))
            return;
        for (const late_report& late : std::exchange(m_reports, {})) {
            for (const std::unique_ptr<test_daemon>& each : m_daemons) {
                if (each.get() == late.daemon)
                    each->owners.acceptReport(m_server, late.report);
            }
        }
    }

    void disturb(test_daemon& daemon)
    {
        switch (below(10)) {
        case 0:
        case 1:
        case 2:
            daemon.table.isCut = oneIn(3);
            return;
        case 3:
        case 4:
            daemon.isPaused = oneIn(3);
            return;
        case 5:
            daemon.table.loseReplies = 1 + below(2);
            return;
        case 6:
            daemon.table.loseRequests = 1 + below(2);
            return;
        case 7:
            daemon.table.delayRequests = 1;
            return;
        case 8:
            daemon.table.deliverDelayed();
            return;
        default:
            m_limitSeen[indexOf(daemon)] = m_isLow ? lowLimit : limit;
        }
    }

    void disturbFleet()
    {
        switch (below(5)) {
        case 0:
            m_table.isDown = oneIn(4);
            return;
        case 1: {
            fleet_daemon& ranked = m_view.daemons[static_cast<std::size_t>(below(static_cast<int>(m_view.daemons.size())))];
            ranked.zone = zone_id { oneIn(2) ? "z" : "far" };
            return;
        }
        case 2:
            return restart(indexOf(any()));
        case 3:
            any().owners.beginStop(); // The process comes back when it has stopped.
            return;
        default:
            if (m_profile.limitFalls)
                changeLimit();
        }
    }

    // What the process had checked is lost with it; what runs at the server goes on.
    void restart(std::size_t index)
    {
        if (m_stepping)
            return;
        m_daemons[index]->table.deliverDelayed();
        m_retired.push_back(std::exchange(m_daemons[index], start(static_cast<int>(index))));
    }

    void changeLimit()
    {
        m_isLow = !m_isLow;
        if (m_isLow) {
            // The server restarts cold, which ends its work.
            ++m_fall;
            for (const running_request& request : std::exchange(m_running, {}))
                end(request);
            return;
        }
        for (running_request& request : m_running)
            request.isFresh = false;
    }

    term_options m_options;
    std::mt19937_64 m_random;
    fault_profile m_profile;
    memory_table m_table;
    server_id m_server { "s" };
    fleet_view m_view;
    std::vector<std::unique_ptr<test_daemon>> m_daemons;
    std::vector<std::unique_ptr<test_daemon>> m_retired; ///< Kept so that addresses tell daemons apart.
    std::vector<int> m_limitSeen; ///< By each daemon.
    std::vector<running_request> m_running;
    std::vector<late_report> m_reports;
    const test_daemon* m_stepping = nullptr;
    bool m_isInCall = false;
    bool m_isLow = false;
    int m_fall = 0;
    bool m_holds = true;
    int m_written = 0;
    std::uint64_t m_highestTerm = 0;
};

} // namespace radishflow
