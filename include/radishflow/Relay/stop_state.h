// Declares stop_state, which records whether a daemon is stopping and when its process will end.
#pragma once

#include "radishflow/Support/monotonic_clock.h"

#include <atomic>

namespace radishflow {

/// Thread-safe.
class stop_state {
public:
    /// Records that the process stops now and will end at the deadline, even if requests are still running.
    void requestStop(time_point now, time_point deadline)
    {
        m_length = deadline - now;
        m_deadline = deadline;
        m_isStopping = true;
    }

    bool isStopping() const { return m_isStopping; }
    /// Valid once isStopping() returns true.
    time_point deadline() const { return m_deadline; }
    /// Time between the request to stop and the deadline; valid once isStopping() returns true.
    duration length() const { return m_length; }

private:
    std::atomic<time_point> m_deadline { time_point {} };
    std::atomic<duration> m_length { duration {} };
    std::atomic<bool> m_isStopping = false;
};

} // namespace radishflow
