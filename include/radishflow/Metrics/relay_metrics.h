// Declares relay_metrics, the counters and latency histograms of a relaying daemon.
#pragma once

#include "radishflow/Requests/request_record.h"

#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace radishflow {

/// Thread-safe.
class relay_metrics {
public:
    relay_metrics();
    ~relay_metrics();
    relay_metrics(const relay_metrics&) = delete;
    relay_metrics& operator=(const relay_metrics&) = delete;

    void count(const request_record&);
    /// Sets a gauge, such as the number of open connections.
    void setGauge(const std::string& name, double value);
    /// Sets the share of requests that the target of a service's roll-out gets, and named counts of it.
    void setRollout(const std::string& service, const std::string& target, double share, const std::vector<std::pair<std::string, std::uint64_t>>& counts);
    /// Returns the text of the Prometheus exposition format.
    std::string text() const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace radishflow
