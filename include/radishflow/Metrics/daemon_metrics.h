// Declares daemon_metrics, what a daemon counts for its operators in the format of Prometheus.
#pragma once

#include "radishflow/Edge/caller_answer.h"
#include "radishflow/Metrics/metrics_reading.h"

#include <functional>
#include <memory>
#include <string>

namespace radishflow {

/// Thread-safe; takes no lock of ours while it calls anything else.
class daemon_metrics {
public:
    daemon_metrics();
    ~daemon_metrics();
    daemon_metrics(const daemon_metrics&) = delete;
    daemon_metrics& operator=(const daemon_metrics&) = delete;

    /// Makes the call and returns its answer such that its reading is counted. The service is a label, so it may not be a text of a
    /// caller's choice. The answer may outlive the metrics.
    caller_answer observe(const std::string& service, const std::function<caller_answer()>& call);

    /// Returns the text exposition.
    std::string text(const metrics_reading&) const;

private:
    struct state;
    std::shared_ptr<state> m_state;
};

} // namespace radishflow
