// Declares daemon_metrics, a daemon's metrics in the Prometheus format.
#pragma once

#include "radishflow/Edge/caller_answer.h"
#include "radishflow/Metrics/metrics_reading.h"

#include <functional>
#include <memory>
#include <string>

namespace radishflow {

/// Thread-safe; holds no lock of its own while it calls other code.
class daemon_metrics {
public:
    daemon_metrics();
    ~daemon_metrics();
    daemon_metrics(const daemon_metrics&) = delete;
    daemon_metrics& operator=(const daemon_metrics&) = delete;

    /// Runs the call and returns its response, wrapped so that reads are counted. The service becomes a label, so it
    /// must not be a text chosen by a caller. The response may outlive the metrics.
    caller_answer observe(const std::string& service, const std::function<caller_answer()>& call);

    /// Returns the text exposition.
    std::string text(const metrics_reading&) const;

private:
    struct state;
    std::shared_ptr<state> m_state;
};

} // namespace radishflow
