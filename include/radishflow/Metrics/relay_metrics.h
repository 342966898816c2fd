// Declares relay_metrics, the counters and latency histograms of a relaying daemon.
#pragma once

#include "radishflow/Requests/request_record.h"

#include <memory>
#include <string>

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
    /// Returns the text of the Prometheus exposition format.
    std::string text() const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace radishflow
