// Declares server_gates, which decides how much work each owned server gets.
#pragma once

#include "radishflow/Admission/cold_start_limiter.h"
#include "radishflow/Backend/exchange_outcome.h"
#include "radishflow/Backend/write_gate.h"
#include "radishflow/Config/config_store.h"
#include "radishflow/Daemon/crash_reporter.h"
#include "radishflow/Daemon/crash_watch.h"
#include "radishflow/Daemon/daemon_options.h"
#include "radishflow/Daemon/fleet_directory.h"
#include "radishflow/Daemon/ownership_keeper.h"
#include "radishflow/Daemon/prefix_watch.h"
#include "radishflow/Daemon/service_admission.h"
#include "radishflow/Daemon/service_load_sum.h"
#include "radishflow/Requests/refusal.h"
#include "radishflow/Requests/request_submission.h"
#include "radishflow/Support/boottime_clock.h"
#include "radishflow/Support/ids.h"
#include "radishflow/Support/ranked_mutex.h"

#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace radishflow {

/// What the state dump shows of one server.
struct gate_view {
    int reserved = 0;
    int limit = 0;
    int bound = 0; ///< The load bound's share of the fleet's load.
    bool isWarm = false;
};

/// Counts the work at the servers that this daemon owns. Thread-safe; rank Admission, after Ownership.
class server_gates {
public:
    /// Every reference outlives the gates.
    struct parts {
        const daemon_options& options;
        const config_store& configuration;
        const fleet_directory& directory;
        ownership_keeper& ownership;
        crash_watch& crashes;
        const prefix_watch& prefixes;
    };

    explicit server_gates(const parts& theParts)
        : m_parts(theParts)
    {
    }

    /// Tells who confirms and spreads crashes; called once before any submission.
    void setCrashReporter(crash_reporter reporter) { m_reporter = std::move(reporter); }

    /// Reserves a place at a server or says why there is none. Each reservation is followed by one call of
    /// finish; nothing may be written without the gate.
    std::optional<refusal> reserve(const request_submission&);

    /// The last check around each write to the server; the submission outlives it.
    write_gate gateFor(const request_submission&);

    /// Ends a reservation with what was seen of the server.
    void finish(const request_submission&, const exchange_outcome&);

    /// A reading of a server's metrics.
    void observe(const server_id&, const server_sample&);

    /// Sets what the fleet runs of each service, as the gossip sums it.
    void setFleetLoads(const std::unordered_map<service_id, fleet_load>&);

    /// Returns this owner's own sums for the gossip.
    std::vector<service_load_sum> ownLoads() const;

    /// Returns each server's state for the dump.
    std::unordered_map<server_id, gate_view> view() const;

private:
    struct server_state {
        std::optional<cold_start_limiter> allowance;
        std::map<attempt_id, std::uint64_t> tickets; ///< Of the requests at the server.
        service_id service;
        int reserved = 0;
        int fullLimit = 0;
    };

    std::optional<refusal> checkPlace(const request_submission&, const fleet_snapshot&) const;
    bool isProbablyHeldAt(const request_submission&) const;
    std::optional<refusal> reserveAt(const request_submission&, const service_settings&, const config_snapshot&, int listed);
    server_state& stateOf(const request_submission&, const service_settings&);
    service_admission& admissionOf(const service_settings&, const config_snapshot&);
    void setLoadsOf(service_admission&, const service_settings&, int listed);
    std::variant<term_number, refusal> acquire(const request_submission&);
    std::optional<int> drawTicket(const request_submission&);
    void returnTicket(const request_submission&);
    void noteFirstByte(const request_submission&, std::chrono::milliseconds wait);
    void noteReset(const request_submission&, double startTime);

    parts m_parts;
    boottime_clock m_clock;
    crash_reporter m_reporter;
    mutable ranked_mutex m_mutex { lock_rank::Admission };
    std::unordered_map<server_id, server_state> m_servers;
    std::unordered_map<service_id, service_admission> m_services;
    std::unordered_map<service_id, fleet_load> m_fleetLoads;
};

} // namespace radishflow
