// Declares cold_start_limiter, which decides how much one backend server may take while it warms up.
#pragma once

#include "radishflow/Admission/server_sample.h"
#include "radishflow/Support/monotonic_clock.h"

#include <cstdint>
#include <set>

namespace radishflow {

struct cold_start_limiter_options {
    int coldLimit = 2; ///< Declared: requests that a cold server bears.
    int fullLimit = 64; ///< Requests that a warm server bears.
    int completionsPerStep = 2; ///< The limit grows by one with so many completions.
    duration slowFirstTokenThreshold = std::chrono::seconds { 5 }; ///< A first token later than this is out of range.
    int slowFirstTokensBeforeReset = 2; ///< So many in a row mean that the server has turned cold.
    int unconfirmedLimit = 8; ///< Requests of which the server has not shown that it met them warm.
};

/// Why the server was last taken to be cold.
enum class cold_reason {
    Unknown, ///< Nothing is known of it yet.
    ProcessChanged,
    CounterDecreased,
    ConnectionReset,
    SlowFirstTokens,
};

const char* nameOf(cold_reason);

/// Grows from the cold limit with what the server completes, not with time. Not thread-safe.
///
/// Between a cold turn and its detection at most unconfirmedLimit requests are sent, or coldLimit if that is more.
class cold_start_limiter {
public:
    explicit cold_start_limiter(const cold_start_limiter_options&);

    /// Requests that the server bears now.
    int limit() const { return m_limit; }

    /// Returns whether one more request may be sent before the server shows again that it is warm.
    bool canDispatch() const;

    /// A request is about to be sent; returns the dispatchNumber to be given back with its signs and its end.
    std::uint64_t recordDispatch();

    /// A first token arrived after a wait, or a wait has become that long without one.
    void recordFirstToken(std::uint64_t dispatchNumber, duration wait);

    /// A request was completed; requests of before a cold turn warm nothing.
    void recordCompletion(std::uint64_t dispatchNumber);

    /// A request was not sent, or ended without a sign from the server, such as by its caller's wish.
    void recordAbandonment(std::uint64_t dispatchNumber);

    void recordConnectionReset() { resetToCold(cold_reason::ConnectionReset); }
    void observe(const server_sample&);

    bool isWarm() const { return m_limit >= m_options.fullLimit; }
    cold_reason reason() const { return m_reason; }

    /// Grows with each cold turn.
    std::uint64_t epoch() const { return m_epoch; }

    /// Requests that may have met a cold server if it has just turned cold. A sign of warmth speaks only for the
    /// request that brought it: others may have been sent earlier and still arrive after a cold turn.
    int unconfirmed() const { return static_cast<int>(m_unconfirmed.size()); }

private:
    void resetToCold(cold_reason);
    bool isFromEarlierEpoch(std::uint64_t dispatchNumber) const { return dispatchNumber < m_firstDispatchOfEpoch; }
    bool hasProcessChanged(const server_sample&) const;

    cold_start_limiter_options m_options;
    int m_limit = 0;
    int m_completions = 0; ///< Since the limit last grew.
    int m_slowFirstTokens = 0; ///< In a row.
    std::set<std::uint64_t> m_unconfirmed; ///< Tickets.
    std::uint64_t m_lastDispatch = 0;
    std::uint64_t m_firstDispatchOfEpoch = 1; ///< Tickets below it belong to before the last cold turn.
    std::uint64_t m_epoch = 1;
    cold_reason m_reason = cold_reason::Unknown;
    server_sample m_sample;
};

} // namespace radishflow
