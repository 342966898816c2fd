// Declares a fleet of daemons in one thread that handles orders under faults in a seeded random schedule.
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

/// What callers were told and what the backend server did, over all orders.
struct fleet_tally {
    int ranTwice = 0;
    int falseNotRun = 0;
    int falseDone = 0;
    int done = 0; ///< The best that any call of the order was told.
    int notRun = 0;
    int unknown = 0;
    int restarts = 0;
    int pending = 0; ///< Outcomes that the table has not taken after all faults.
    int unknownAtEnd = 0; ///< Unknown to one more call after all faults.
    int commits = 0; ///< Without those of that one more call.
};

/// One daemon's way to the table. Other daemons act before and after each write, and requests of a daemon
/// that was killed there are not sent. A request may also be delayed until after later ones.
struct faulty_table {
    class simulated_fleet* fleet;
    const bool* isAlive;

    result<table_page> readRange(const std::string& prefix, std::int64_t minModRevision);
    result<table_commit> commit(const std::vector<row_condition>&, const std::vector<row_write>&);
};

/// Answers for the fleet, sometimes wrongly that a live daemon is dead.
struct unreliable_liveness_check {
    class simulated_fleet* fleet;
    bool operator()(const daemon_id&, incarnation_number) const;
};

/// Runs everything in run(). A fresh one is needed for each run.
class simulated_fleet {
public:
    explicit simulated_fleet(simulated_fleet_options);
    fleet_tally run();

private:
    friend struct faulty_table;
    friend struct unreliable_liveness_check;
    using order_manager_type = order_manager<faulty_table, unreliable_liveness_check>;
    using reservation_manager_type = reservation_manager<manual_clock>;

    /// One incarnation of one daemon; calls keep theirs after it was killed.
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
        bool isBusy = false; ///< Inside a step that waits for the table.
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
    std::vector<std::shared_ptr<call>> m_dispatched; ///< Dispatched and not yet run.
    std::vector<std::function<void()>> m_delayedWrites;
};

} // namespace radishflow
