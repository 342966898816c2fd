// Declares what a run of the benchmark measures.
#pragma once

#include "scenario.h"
#include "sim_time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace radishflow {

/// Counters of one or more runs; only what happens between the warm-up and the last arrival counts.
class measurements {
public:
    measurements(sim_time warmUp, sim_time length);

    std::uint64_t returns = 0; ///< Admissions of chats that were here before.
    std::uint64_t hits = 0;
    std::uint64_t returnTokens = 0;
    std::uint64_t savedTokens = 0;
    std::uint64_t importedTokens = 0; ///< Tokens of returning chats imported from a full holder.
    std::uint64_t overAtAdmission = 0; ///< Admissions that put a server above c x true mean + 1.
    std::uint64_t overSampled = 0; ///< Server-seconds above c x true mean + 1.
    std::uint64_t overSlots = 0;
    std::uint64_t coldExceeded = 0;
    std::uint64_t exports = 0;

    bool counts(sim_time at) const { return at >= m_warmUp && at < m_length; }
    void countArrival(sim_time at);
    void countAnswer(sim_time arrival, sim_time untilFirstToken, std::uint32_t attempts);
    void countFailure(sim_time arrival, std::uint32_t attempts);
    void countSkew(sim_time at, double maxOverMean);

    /// Ends a run: takes its worst seconds into the totals.
    void closeRun(const scenario&);

    static std::string header();
    std::string row(const std::string& policy) const;

private:
    double shareOf(std::size_t second) const;
    std::size_t secondsToRecover(const scenario&) const;

    sim_time m_warmUp;
    sim_time m_length;
    double m_worstShare = 1;
    std::size_t m_shortSeconds = 0;
    std::size_t m_longestRecovery = 0;
    std::vector<std::uint32_t> m_arrived; ///< By second of the current run.
    std::vector<std::uint32_t> m_answered;
    std::vector<double> m_firstTokens;
    std::vector<std::uint32_t> m_attempts;
    std::vector<double> m_skews;
};

} // namespace radishflow
