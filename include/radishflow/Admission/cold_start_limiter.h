// Declares cold_start_limiter, which limits the concurrent requests of a backend server while it warms up.
#pragma once

#include "radishflow/Admission/server_sample.h"
#include "radishflow/Support/monotonic_clock.h"

#include <cstdint>
#include <set>

namespace radishflow {

struct cold_start_limiter_options {
    int coldLimit = 2; ///< Concurrent requests that a cold server can run, as configured.
    int fullLimit = 64; ///< Concurrent requests that a warm server can run.
    int completionsPerStep = 2; ///< Completions after which the limit grows by one.
    duration slowFirstTokenThreshold = std::chrono::seconds { 5 }; ///< A longer wait for the first token counts as slow.
    int slowFirstTokensBeforeReset = 2; ///< Consecutive slow first tokens after which the server counts as cold.
    int unconfirmedLimit = 8; ///< Maximum requests in flight without evidence that the server was warm when they arrived.
};

/// Why the server was last classified as cold.
enum class cold_reason {
    Unknown, ///< No evidence about the server has been received yet.
    ProcessChanged,
    CounterDecreased, ///< The counter of completed requests decreased, so the process has restarted.
    ConnectionReset,
    SlowFirstTokens,
};

const char* nameOf(cold_reason);

/// Grows the limit from the cold limit with the requests that the server completes, not with time.
///
/// Between a restart of the server and its detection, at most max(unconfirmedLimit, coldLimit) requests are sent to it.
/// Not thread-safe.
class cold_start_limiter {
public:
    explicit cold_start_limiter(const cold_start_limiter_options&);

    /// Returns how many concurrent requests the server may run now.
    int limit() const { return m_limit; }

    /// Returns whether another request may be sent before there is new evidence that the server is warm.
    bool canDispatch() const;

    /// Records that a request is about to be sent. Returns its dispatch number, which identifies it in later calls.
    std::uint64_t recordDispatch();

    /// Records that a first token arrived after this wait, or that none has arrived after it.
    void recordFirstToken(std::uint64_t dispatchNumber, duration wait);

    /// Records that a request was completed. Ignores requests sent before the last reset to cold.
    void recordCompletion(std::uint64_t dispatchNumber);

    /// Records that a request was not sent, or ended without evidence from the server, such as by its caller's cancellation.
    void recordAbandonment(std::uint64_t dispatchNumber);

    void recordConnectionReset() { resetToCold(cold_reason::ConnectionReset); }
    /// Records a reading of the server's metrics.
    void observe(const server_sample&);

    bool isWarm() const { return m_limit >= m_options.fullLimit; }
    cold_reason reason() const { return m_reason; }

    /// Increases with each reset to cold.
    std::uint64_t epoch() const { return m_epoch; }

    /// Returns how many requests in flight may have reached a cold server if it has just restarted. Evidence that the
    /// server is warm confirms only the request that gave it: requests sent earlier may still arrive after a restart.
    int unconfirmed() const { return static_cast<int>(m_unconfirmed.size()); }

private:
    void resetToCold(cold_reason);
    bool isFromEarlierEpoch(std::uint64_t dispatchNumber) const { return dispatchNumber < m_firstDispatchOfEpoch; }
    bool hasProcessChanged(const server_sample&) const;

    cold_start_limiter_options m_options;
    int m_limit = 0;
    int m_completions = 0; ///< Since the limit last grew.
    int m_slowFirstTokens = 0; ///< Consecutive.
    std::set<std::uint64_t> m_unconfirmed; ///< Dispatch numbers.
    std::uint64_t m_lastDispatch = 0;
    std::uint64_t m_firstDispatchOfEpoch = 1; ///< Lower dispatch numbers were sent before the last reset to cold.
    std::uint64_t m_epoch = 1;
    cold_reason m_reason = cold_reason::Unknown;
    server_sample m_sample;
};

} // namespace radishflow
