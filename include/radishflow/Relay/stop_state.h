// Declares stop_state, whether and since when a daemon is stopping.
#pragma once

#include "radishflow/Support/monotonic_clock.h"

#include <atomic>

namespace radishflow {

/// Thread-safe.
class stop_state {
public:
    /// The process ends at this moment, whatever is still running.
    void requestStop(time_point deadline)
    {
        m_deadline = deadline;
        m_isStopping = true;
    }

    bool isStopping() const { return m_isStopping; }
    time_point deadline() const { return m_deadline; }

private:
    std::atomic<time_point> m_deadline { time_point {} };
    std::atomic<bool> m_isStopping = false;
};

} // namespace radishflow
