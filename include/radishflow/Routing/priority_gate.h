// Declares priority_gate, which leaves the scarce request rate of a service to its most urgent requests.
#pragma once

#include "radishflow/Routing/cold_share.h"
#include "radishflow/Routing/decaying_count.h"

#include <chrono>
#include <map>

namespace radishflow {

struct priority_gate_options {
    duration halfLife = std::chrono::seconds { 5 }; ///< Half-life of the weight of an arrival.
    duration maxRetryAfter = std::chrono::seconds { 5 };
};

/// Divides a rate among priorities: each gets what the more urgent ones leave, by the rates at which requests have arrived.
/// Requests are never queued. Not thread-safe.
class priority_gate {
public:
    explicit priority_gate(const priority_gate_options& options = {})
        : m_options(options)
    {
    }

    /// Counts the arrival of a request; 0 is the most urgent priority.
    void countArrival(int priority, time_point now);
    /// Returns whether a request may be sent now if all requests together may be sent at the given rate.
    bool admits(int priority, double ratePerSecond, time_point now) const;
    /// Counts a request that is sent at the given rate of all.
    void consume(int priority, double ratePerSecond, time_point now);
    /// Returns after which time a refused request of the priority is likely to be admitted.
    duration retryAfter(int priority, double ratePerSecond, time_point now) const;

private:
    struct demand {
        decaying_count arrivals;
        cold_share bucket;
    };

    double arrivalRate(const demand&, time_point now) const;
    /// Returns the rate that more urgent requests leave to the priority.
    double remainingRate(int priority, double ratePerSecond, time_point now) const;

    priority_gate_options m_options;
    std::map<int, demand> m_demands; ///< By priority.
};

} // namespace radishflow
