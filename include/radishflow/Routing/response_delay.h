// Declares response_delay, the time that a backend server takes for a response now, as measured by the whole fleet.
#pragma once

#include "radishflow/Support/monotonic_clock.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <optional>

namespace radishflow {

/// The message in which a daemon publishes how long responses of a backend server took.
struct shared_delay {
    std::uint32_t server = 0; ///< serverHashOf() of the server's id.
    std::chrono::milliseconds delay { 0 };
    duration age {}; ///< Time since the last of the responses.
};

/// Estimates the time for the next response of a server from those of the last moments. Without recent responses, the estimate returns
/// to that of the other servers, so that a server which was slow gets requests again. Not thread-safe.
class response_delay {
public:
    /// Records a response that this or another daemon received, unless it is much older than the last one.
    void record(duration delay, time_point at)
    {
        if (m_recordedAt && *m_recordedAt - at >= memory)
            return;
        const double gap = m_recordedAt ? std::max(seconds(at - *m_recordedAt), 0.0) : seconds(memory);
        const double weight = m_recordedAt ? std::max(1 - std::exp(-gap / seconds(memory)), minWeight) : 1;
        m_seconds += weight * (seconds(delay) - m_seconds);
        m_recordedAt = m_recordedAt ? std::max(*m_recordedAt, at) : at;
    }

    /// Records a response that this daemon received, for publication too.
    void recordOwn(duration delay, time_point at)
    {
        record(delay, at);
        m_unpublishedSeconds += seconds(delay);
        ++m_unpublished;
    }

    /// Returns the expected time in seconds; `usual` is that of the other servers.
    double secondsAt(time_point now, double usual) const
    {
        return m_recordedAt ? std::lerp(usual, m_seconds, trust(now)) : usual;
    }

    bool isRecent(time_point now) const { return m_recordedAt && now - *m_recordedAt < memory; }
    double lastSeconds() const { return m_seconds; }

    /// Returns the mean of this daemon's responses since the last call; nothing without any.
    std::optional<shared_delay> takeUpdate(std::uint32_t server, time_point now)
    {
        if (m_unpublished == 0)
            return std::nullopt;
        const double mean = m_unpublishedSeconds / m_unpublished;
        m_unpublishedSeconds = 0;
        m_unpublished = 0;
        return shared_delay { .server = server, .delay = std::chrono::round<std::chrono::milliseconds>(std::chrono::duration<double> { mean }), .age = now - *m_recordedAt };
    }

private:
    static constexpr std::chrono::milliseconds memory { 400 }; ///< Queues of a few slots fill and drain within a second.
    static constexpr double minWeight = 0.1; ///< Of a response in the estimate, if several arrive at once.

    static double seconds(duration time) { return std::chrono::duration<double>(time).count(); }
    double trust(time_point now) const { return std::exp(-std::max(seconds(now - *m_recordedAt), 0.0) / seconds(memory)); }

    double m_seconds = 0;
    std::optional<time_point> m_recordedAt;
    double m_unpublishedSeconds = 0;
    int m_unpublished = 0;
};

} // namespace radishflow
