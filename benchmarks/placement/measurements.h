// Declares measurements, the metrics of benchmark runs.
#pragma once

#include "scenario.h"
#include "sim_time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace radishflow {

/// Metrics of one or more runs. Only events between the warm-up and the end of arrivals are measured.
class measurements {
public:
    measurements(sim_time warmUp, sim_time length);

    std::uint64_t returns = 0; ///< Admissions of chats that have sent an earlier request.
    std::uint64_t hits = 0;
    std::uint64_t returnTokens = 0;
    std::uint64_t savedTokens = 0;
    std::uint64_t importedTokens = 0; ///< Tokens of returning chats imported from a full holder.
    std::uint64_t admissionsAboveBound = 0; ///< Admissions that put a server above loadMultiple x the true mean + 1 slot.
    std::uint64_t serverSecondsAboveBound = 0; ///< Server-seconds above loadMultiple x the true mean + 1 slot.
    std::uint64_t queuedAdmissions = 0;
    std::uint64_t coldOverloads = 0;
    std::uint64_t exports = 0;

    bool isMeasured(sim_time at) const { return at >= m_warmUp && at < m_length; }
    void recordArrival(sim_time at);
    void recordResponse(sim_time arrival, sim_time timeToFirstToken, std::uint32_t attempts);
    void recordFailure(sim_time arrival, std::uint32_t attempts);
    void recordSkew(sim_time at, double maxOverMean);

    /// Ends a run and merges its per-second results into the totals.
    void finishRun(const scenario&);

    static std::string header();
    std::string row(const std::string& policy) const;

private:
    double completionRate(std::size_t second) const;
    std::size_t secondsToRecover(const scenario&) const;

    sim_time m_warmUp;
    sim_time m_length;
    double m_minCompletionRate = 1;
    std::size_t m_secondsBelowTarget = 0;
    std::size_t m_maxRecoverySeconds = 0;
    std::vector<std::uint32_t> m_arrived; ///< Requests by second of arrival in the current run.
    std::vector<std::uint32_t> m_completed;
    std::vector<double> m_firstTokens;
    std::vector<std::uint32_t> m_attempts;
    std::vector<double> m_skews;
};

} // namespace radishflow
