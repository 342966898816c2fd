// Declares readiness_gate, which decides whether a daemon accepts callers.
#pragma once

#include "radishflow/Support/monotonic_clock.h"

#include <chrono>
#include <utility>

namespace radishflow {

struct readiness_gate_options {
    duration maxWaitForServers = std::chrono::seconds { 2 }; ///< Longest time for which a daemon with a current configuration waits for the list of servers.
};

/// Whether a daemon's copies of the platform's tables are current.
struct table_state {
    bool isConfigCurrent = false; ///< The configuration and a list of servers were read, and the configuration was confirmed lately.
    bool areServersCurrent = false; ///< No change of the list of servers is known that this daemon lacks.
};

/// A daemon that was out of touch with the platform reads its tables one after the other. It accepts callers again once it has
/// the list of servers too, since the former list may contain servers that have left. Not thread-safe.
template <monotonic_clock Clock>
class readiness_gate {
public:
    explicit readiness_gate(const Clock& clock, const readiness_gate_options& options = {})
        : m_clock(clock)
        , m_options(options)
    {
    }

    /// Returns whether the daemon accepts callers.
    bool evaluate(const table_state& state)
    {
        if (!state.isConfigCurrent) {
            m_isReady = false;
            m_isConfigCurrent = false;
            return false;
        }
        if (!std::exchange(m_isConfigCurrent, true))
            m_configCurrentSince = m_clock.now();
        // A process that starts reads the whole list. A list that cannot be read must not keep all daemons from serving.
        const bool isReturn = m_hasBeenReady && !m_isReady;
        if (isReturn && !state.areServersCurrent && m_clock.now() - m_configCurrentSince < m_options.maxWaitForServers)
            return false;
        m_isReady = true;
        m_hasBeenReady = true;
        return true;
    }

private:
    const Clock& m_clock;
    readiness_gate_options m_options;
    bool m_isReady = false;
    bool m_hasBeenReady = false;
    bool m_isConfigCurrent = false;
    time_point m_configCurrentSince {}; ///< If m_isConfigCurrent.
};

} // namespace radishflow
