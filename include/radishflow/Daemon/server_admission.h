// Declares server_admission, which limits the work at each owned server.
#pragma once

#include "radishflow/Admission/cold_start_limiter.h"
#include "radishflow/Backend/exchange_outcome.h"
#include "radishflow/Backend/write_gate.h"
#include "radishflow/Config/config_store.h"
#include "radishflow/Daemon/crash_quarantine.h"
#include "radishflow/Daemon/crash_reporter.h"
#include "radishflow/Daemon/daemon_options.h"
#include "radishflow/Daemon/fleet_directory.h"
#include "radishflow/Daemon/prefix_tracker.h"
#include "radishflow/Daemon/service_admission.h"
#include "radishflow/Daemon/service_load_sum.h"
#include "radishflow/Daemon/shared_ownership.h"
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

/// State of one server as shown in the state dump.
struct server_admission_state {
    int reserved = 0;
    int limit = 0;
    int bound = 0; ///< Maximum number of requests by the load bound.
    bool isWarm = false;
};

/// Admits and counts requests at the servers that this daemon owns. Thread-safe; rank Admission, after Ownership.
class server_admission {
public:
    /// Every reference must outlive this object.
    struct dependencies {
        const daemon_options& options;
        const config_store& configuration;
        const fleet_directory& directory;
        shared_ownership& ownership;
        crash_quarantine& crashes;
        const prefix_tracker& prefixes;
    };

    explicit server_admission(const dependencies& theDependencies)
        : m_dependencies(theDependencies)
    {
    }

    /// Sets the callbacks that confirm and publish crashes; called once before any submission.
    void setCrashReporter(crash_reporter reporter) { m_reporter = std::move(reporter); }

    /// Reserves a slot at a server or returns the reason of a refusal. Each reservation is followed by one call of
    /// finish(); writes to the server must go through its write gate.
    std::optional<refusal> reserve(const request_submission&);

    /// Returns the final check around each write to the server; the submission must outlive it.
    write_gate writeGateFor(const request_submission&);

    /// Ends a reservation with the outcome of the exchange.
    void finish(const request_submission&, const exchange_outcome&);

    /// Records a sample of a server's metrics.
    void observe(const server_id&, const server_sample&);

    /// Sets the running requests of each service in the fleet, as summed by the gossip.
    void setFleetLoads(const std::unordered_map<service_id, fleet_load>&);

    /// Returns the sums of this owner, for the gossip.
    std::vector<service_load_sum> ownLoads() const;

    /// Returns each server's state for the dump.
    std::unordered_map<server_id, server_admission_state> view() const;

private:
    struct server_state {
        std::optional<cold_start_limiter> coldStartLimiter;
        std::map<attempt_id, std::uint64_t> dispatchNumbers; ///< Dispatch numbers of the requests at the server.
        service_id service;
        int reserved = 0;
        int fullLimit = 0;
    };

    std::optional<refusal> checkServer(const request_submission&, const fleet_snapshot&) const;
    bool isProbablyHeldAt(const request_submission&) const;
    std::optional<refusal> reserveAt(const request_submission&, const service_settings&, const config_snapshot&, int listed);
    server_state& stateOf(const request_submission&, const service_settings&);
    service_admission& admissionOf(const service_settings&, const config_snapshot&);
    void setLoadsOf(service_admission&, const service_settings&, int listed);
    std::variant<term_number, refusal> acquire(const request_submission&);
    std::optional<int> recordDispatch(const request_submission&);
    void cancelDispatch(const request_submission&);
    void recordFirstByte(const request_submission&, std::chrono::milliseconds wait);
    void handleConnectionReset(const request_submission&, double startTime);

    dependencies m_dependencies;
    boottime_clock m_clock;
    crash_reporter m_reporter;
    mutable ranked_mutex m_mutex { lock_rank::Admission };
    std::unordered_map<server_id, server_state> m_servers;
    std::unordered_map<service_id, service_admission> m_services;
    std::unordered_map<service_id, fleet_load> m_fleetLoads;
};

} // namespace radishflow
