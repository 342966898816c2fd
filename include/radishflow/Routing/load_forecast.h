// Declares load_forecast, which estimates the present load of a backend server from reports that are some time old.
#pragma once

#include "radishflow/Support/monotonic_clock.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace radishflow {

/// Answers the load of many daemons that choose by the same old reports: a server that reported few requests is chosen by all of them until
/// it reports again. The requests that a report counted end, and others begin, within the time that a request lasts, so a report of a server
/// with independent requests says less and less about them: the expected number approaches the server's own mean, from the reported one,
/// as exp(-age / time of a request). Not thread-safe.
class load_forecast {
public:
    /// Records a report of the requests at the server from other daemons than this one.
    void record(double others, time_point reportedAt)
    {
        if (!m_hasMean) {
            m_mean = others;
            m_hasMean = true;
        } else {
            const double weight = 1 - std::exp(-seconds(reportedAt - m_reportedAt) / seconds(meanMemory));
            m_mean += std::max(weight, minWeight) * (others - m_mean);
        }
        m_others = others;
        m_reportedAt = reportedAt;
    }

    /// Returns the expected number of requests from other daemons; `requestTime` is how long a request lasts on average, `usual` the mean
    /// of all servers, below which the approached mean is not taken. A server reports with its responses, so one that has reported nothing for long may
    /// be busy with requests that have no response yet, and counts as no less loaded than others.
    double othersAt(time_point now, duration requestTime, double usual = 0) const
    {
        const double trust = std::exp(-seconds(now - m_reportedAt) / std::max(seconds(requestTime), minRequestSeconds));
        return std::lerp(std::max(m_mean, usual), m_others, trust);
    }

private:
    static constexpr std::chrono::seconds meanMemory { 4 }; ///< Several times the time of a request, so that the mean shows lasting differences between servers.
    static constexpr double minWeight = 0.05; ///< Of a report in the mean, if several arrive at once.
    static constexpr double minRequestSeconds = 0.02;

    static double seconds(duration time) { return std::chrono::duration<double>(time).count(); }

    double m_mean = 0;
    double m_others = 0;
    bool m_hasMean = false;
    time_point m_reportedAt {};
};

} // namespace radishflow
