// Declares a random schedule of daemons and faults, checked against the requests that run at one backend server.
#pragma once

#include "fault_profile.h"
#include "test_fleet.h"

#include <array>
#include <memory>
#include <random>

namespace radishflow {

/// Runs the production code through the events of models/residual_allowance.pml: pauses between any two steps,
/// disconnections, an unavailable table, lost and delayed writes, reconnections, restarts, releases, and a limit that
/// decreases and increases.
class random_schedule {
public:
    static constexpr int limit = 12;
    static constexpr int lowLimit = 4;

    random_schedule(std::uint64_t seed, const term_options& options, int count = 3)
        : m_options(options)
        , m_random(seed)
        , m_profile(profiles.at(seed % profiles.size()))
        , m_observedLimits(static_cast<std::size_t>(count), limit)
    {
        for (int index = 0; index < count; ++index) {
            const std::string name = "d" + std::to_string(index);
            m_view.daemons.push_back({ .daemon = daemon_id { name }, .zone = zone_id { "z" }, .region = region_id { "r" } });
            m_daemons.push_back(start(index));
        }
        m_view.servers.push_back({ .server = m_server, .zone = zone_id { "z" }, .region = region_id { "r" } });
    }

    /// Returns false as soon as more requests run at the server than its limit allows.
    bool run(int steps)
    {
        for (int step = 0; step < steps && m_isWithinLimit; ++step)
            performRandomAction();
        return m_isWithinLimit;
    }

    std::uint64_t highestTerm() const { return m_highestTerm; }
    int written() const { return m_written; }

private:
    static constexpr std::array<fault_profile, 6> profiles { {
        {},
        { .dropsLimit = true },
        { .delayedCalls = 60 },
        { .delayedCalls = 60, .disconnectsInCalls = 100 },
        { .disconnectsInCalls = 60 },
        { .delayedCalls = 100, .disconnectsInCalls = 300, .dropsLimit = true },
    } };

    bool occurs(int oneInCount) { return oneInCount > 0 && oneIn(oneInCount); }

    struct running_request {
        term_number term;
        const test_daemon* daemon = nullptr;
        bool isAfterDrop = false; ///< Admitted by a daemon that had observed the decrease of the limit.
    };

    struct late_report {
        const test_daemon* daemon = nullptr;
        load_report report;
    };

    int randomBelow(int end) { return std::uniform_int_distribution<int> { 0, end - 1 }(m_random); }
    bool oneIn(int count) { return randomBelow(count) == 0; }

    std::unique_ptr<test_daemon> start(int index)
    {
        auto daemon = std::make_unique<test_daemon>(m_table, "d" + std::to_string(index), m_options, m_random());
        daemon->table.duringCall = [this, table = &daemon->table] {
            if (!m_isInCall && occurs(m_profile.delayedCalls))
                runDuringCall();
            if (occurs(m_profile.disconnectsInCalls))
                table->isDisconnected = true; // Possibly between two calls of one step.
        };
        return daemon;
    }

    // While one daemon waits for the table, other daemons and its own other threads continue.
    void runDuringCall()
    {
        m_isInCall = true;
        for (int round = randomBelow(100); round > 0 && m_isWithinLimit; --round)
            performRandomAction();
        m_isInCall = false;
    }

    void advanceClocks(duration length)
    {
        for (std::size_t index = 0; index < m_daemons.size(); ++index)
            m_daemons[index]->clock.advance(length + length / 100 * static_cast<int>(index)); // Clocks drift apart by 1% per index.
    }

    test_daemon& randomDaemon() { return *m_daemons[static_cast<std::size_t>(randomBelow(static_cast<int>(m_daemons.size())))]; }

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

    void performRandomAction()
    {
        const int choice = randomBelow(1000);
        if (choice < 200)
            return advanceClocks(std::chrono::milliseconds { 100 + randomBelow(1900) });
        if (choice < 450)
            return stepAll();
        if (choice < 700)
            return admitOrWrite(randomDaemon());
        if (choice < 800)
            return finishOne();
        if (choice < 880)
            return report();
        if (choice < 985)
            return injectDaemonFault(randomDaemon());
        injectFleetFault();
    }

    void stepAll()
    {
        for (std::size_t index = 0; index < m_daemons.size() && m_isWithinLimit; ++index)
            step(index);
    }

    void admitOrWrite(test_daemon& daemon)
    {
        // Half of the time the daemon tries to fill the server, so that limits are reached.
        for (int times = oneIn(2) ? limit : 1; times > 0 && m_isWithinLimit; --times) {
            if (!daemon.isPaused && oneIn(2))
                admitOne(daemon);
            else if (!daemon.window.empty() && !daemon.isPaused)
                writeOne(daemon);
        }
    }

    void admitOne(test_daemon& daemon)
    {
        const int observedLimit = m_observedLimits[indexOf(daemon)];
        permit decision = daemon.owners.admit(m_server, observedLimit);
        if (!decision.isGranted)
            return;
        m_highestTerm = std::max(m_highestTerm, decision.term.value());
        // Mark the permit with the decrease that the daemon has observed.
        decision.allowed = m_isLow && observedLimit == lowLimit ? m_limitDrops : 0;
        daemon.window.push_back(decision);
    }

    void writeOne(test_daemon& daemon)
    {
        const permit granted = daemon.window.front();
        daemon.window.pop_front();
        daemon.owners.recordStarted(m_server, granted.term);
        m_running.push_back({ .term = granted.term, .daemon = &daemon, .isAfterDrop = m_isLow && granted.allowed == m_limitDrops });
        ++m_written;
        const auto afterDrop = std::count_if(m_running.begin(), m_running.end(), [](const running_request& each) { return each.isAfterDrop; });
        m_isWithinLimit = m_running.size() <= limit && afterDrop <= lowLimit;
    }

    void finishOne()
    {
        if (m_running.empty())
            return;
        const auto which = m_running.begin() + randomBelow(static_cast<int>(m_running.size()));
        recordEnd(*which);
        m_running.erase(which);
    }

    void recordEnd(const running_request& request)
    {
        for (const std::unique_ptr<test_daemon>& daemon : m_daemons) {
            if (daemon.get() == request.daemon)
                daemon->owners.recordFinished(m_server, request.term);
        }
    }

    // Reports are taken now and may arrive later, possibly after a newer one.
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

    void injectDaemonFault(test_daemon& daemon)
    {
        switch (randomBelow(10)) {
        case 0:
        case 1:
        case 2:
            daemon.table.isDisconnected = oneIn(3);
            return;
        case 3:
        case 4:
            daemon.isPaused = oneIn(3);
            return;
        case 5:
            daemon.table.loseReplies = 1 + randomBelow(2);
            return;
        case 6:
            daemon.table.loseRequests = 1 + randomBelow(2);
            return;
        case 7:
            daemon.table.delayRequests = 1;
            return;
        case 8:
            daemon.table.deliverDelayed();
            return;
        default:
            m_observedLimits[indexOf(daemon)] = m_isLow ? lowLimit : limit;
        }
    }

    void injectFleetFault()
    {
        switch (randomBelow(5)) {
        case 0:
            m_table.isDown = oneIn(4);
            return;
        case 1: {
            fleet_daemon& ranked = m_view.daemons[static_cast<std::size_t>(randomBelow(static_cast<int>(m_view.daemons.size())))];
            ranked.zone = zone_id { oneIn(2) ? "z" : "far" };
            return;
        }
        case 2:
            return restart(indexOf(randomDaemon()));
        case 3:
            randomDaemon().owners.beginStop(); // step() restarts the process when it has stopped.
            return;
        default:
            if (m_profile.dropsLimit)
                toggleLimit();
        }
    }

    // Requests in the window are lost with the process; requests that run at the server continue.
    void restart(std::size_t index)
    {
        if (m_stepping)
            return;
        m_daemons[index]->table.deliverDelayed();
        m_retired.push_back(std::exchange(m_daemons[index], start(static_cast<int>(index))));
    }

    void toggleLimit()
    {
        m_isLow = !m_isLow;
        if (m_isLow) {
            // The server restarts cold, which ends all running requests.
            ++m_limitDrops;
            for (const running_request& request : std::exchange(m_running, {}))
                recordEnd(request);
            return;
        }
        for (running_request& request : m_running)
            request.isAfterDrop = false;
    }

    term_options m_options;
    std::mt19937_64 m_random;
    fault_profile m_profile;
    memory_table m_table;
    server_id m_server { "s" };
    fleet_view m_view;
    std::vector<std::unique_ptr<test_daemon>> m_daemons;
    std::vector<std::unique_ptr<test_daemon>> m_retired; ///< Kept alive so that no two daemons have the same address.
    std::vector<int> m_observedLimits; ///< Limit that each daemon observes, by index.
    std::vector<running_request> m_running;
    std::vector<late_report> m_reports;
    const test_daemon* m_stepping = nullptr;
    bool m_isInCall = false;
    bool m_isLow = false;
    int m_limitDrops = 0;
    bool m_isWithinLimit = true;
    int m_written = 0;
    std::uint64_t m_highestTerm = 0;
};

} // namespace radishflow
