// Declares simulated_fleet, which runs several daemons in one thread and lets them handle orders under injected
// faults, in a random schedule that a seed determines.
#pragma once

#include "radishflow/Orders/order_manager.h"
#include "radishflow/Orders/reservation_manager.h"
#include "radishflow/Support/manual_clock.h"

#include "../Support/memory_table.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <vector>

namespace radishflow {

struct simulated_fleet_options {
    std::uint64_t seed = 1;
    int daemons = 5;
    int orders = 3000;
    bool recordsDispatch = false;
    bool usesReservations = false;
    bool hasFaults = true;
};

/// Counts over all orders of the replies to callers and of the runs at the backend server.
struct fleet_tally {
    int ranTwice = 0; ///< Ran more than once.
    int falseNotRun = 0; ///< Reported as not run, but ran.
    int falseDone = 0; ///< Reported as done, but never ran.
    int done = 0; ///< Reported as done to at least one call.
    int notRun = 0; ///< Reported as not run to at least one call.
    int unknown = 0; ///< Reported neither as done nor as not run.
    int restarts = 0;
    int pending = 0; ///< Outcomes still in a backlog after the faults ended.
    int unknownAtEnd = 0; ///< Unknown to a final call after the faults ended.
    int commits = 0; ///< Commits of the table before the final calls.
};

/// One daemon's connection to the table. Runs random steps of the fleet before and after each write. Fails the
/// write of a daemon that was killed by the step before it, and delays some writes until after later ones.
struct faulty_table {
    class simulated_fleet* fleet;
    const bool* isAlive;

    result<table_page> readRange(const std::string& prefix, std::int64_t minModRevision);
    result<table_commit> commit(const std::vector<row_condition>&, const std::vector<row_write>&);
};

/// Returns whether a daemon's incarnation runs, and sometimes wrongly reports a live one as dead.
struct unreliable_liveness_check {
    class simulated_fleet* fleet;
    bool operator()(const daemon_id&, incarnation_number) const;
};

/// Runs the whole simulation in run(), which may be called once per object.
class simulated_fleet {
public:
    explicit simulated_fleet(simulated_fleet_options);
    fleet_tally run();

private:
    friend struct faulty_table;
    friend struct unreliable_liveness_check;
    using order_manager_type = order_manager<faulty_table, unreliable_liveness_check>;
    using reservation_manager_type = reservation_manager<manual_clock>;

    /// One incarnation of one daemon. Calls share ownership, so it exists until its last call after it was killed.
    struct daemon_process {
        daemon_id id;
        incarnation_number incarnation;
        bool isAlive = true;
        faulty_table table;
        order_manager_type orders;
        reservation_manager_type reservations;

        daemon_process(simulated_fleet&, int daemon, std::uint64_t incarnation);
    };

    enum class call_step {
        Start,
        Mark,
        Send,
        Wait,
        Record,
        Ended,
    };

    /// One call of a caller, handled by one daemon incarnation.
    struct call {
        std::shared_ptr<daemon_process> daemon;
        std::size_t orderIndex = 0;
        call_step step = call_step::Start;
        bool isBusy = false; ///< Inside a step, which nested steps must not advance.
        int dispatchesLeft = 2;
        std::optional<order_claim> claim {};
        std::optional<reservation_permit> permit {};
    };

    struct order_history {
        order request;
        int runs = 0;
        bool wasReportedNotRun = false;
        bool wasReportedDone = false;
        order_reply last {};
    };

    bool randomBool(double probability) { return std::uniform_real_distribution<>(0, 1)(m_random) < probability; }
    bool injectFault(double probability) { return m_hasFaults && randomBool(probability); }
    std::size_t randomIndex(std::size_t count) { return std::uniform_int_distribution<std::size_t>(0, count - 1)(m_random); }

    void restart(std::size_t daemon);
    void addOrder();
    void addCall(std::size_t orderIndex);
    void runRandomStep();
    void changeFaults();
    void advance(call&);
    void claimOrRedeem(call&);
    void markDispatching(call&);
    void dispatch(const std::shared_ptr<call>&);
    void runAtBackend();
    void recordDone(call&);
    void endNotRun(call&);
    void endUnknown(call&);
    void recordReply(call&, const order_reply&);
    void endFaults();
    void finishCalls();
    fleet_tally countResults();

    simulated_fleet_options m_options;
    std::mt19937_64 m_random;
    bool m_hasFaults;
    int m_nesting = 0;
    int m_restarts = 0;
    std::uint64_t m_attempts = 0;
    manual_clock m_clock;
    memory_table m_table;
    std::vector<std::shared_ptr<daemon_process>> m_daemons;
    std::vector<order_history> m_orders;
    std::vector<std::shared_ptr<call>> m_calls;
    std::vector<std::shared_ptr<call>> m_dispatched; ///< Requests that reached the backend server and have not run.
    std::vector<std::function<void()>> m_delayedWrites;
};

} // namespace radishflow
