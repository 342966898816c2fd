// Implements the part of relay_call that decides which requests a stopping daemon accepts.
#pragma once

#include <chrono>

namespace radishflow {

// Remaining time of a stopping process within which a stream probably ends; later ones are refused and go to another daemon.
inline constexpr std::chrono::milliseconds minStreamTimeBeforeStop { 5200 };
// A request that is not a stream is also accepted while this share of the stop is left, if its deadline is later but requests of its
// route have taken far less time lately: the given multiple of the longest, and the time for which a sound server may fall silent.
inline constexpr double earlyStopShare = 0.6;
inline constexpr int usualTimeFactor = 4;
inline constexpr std::chrono::milliseconds maxServerSilence { 1500 };
inline constexpr std::chrono::milliseconds stoppingRetryAfter { 20 };

template <relay_protocol Protocol>
bool relay_call<Protocol>::canEndBeforeStop() const
{
    const duration left = m_context.stop.deadline() - now();
    if (left >= m_deadline - now())
        return true;
    if (m_admitted.target->kind == work_kind::Stream)
        return left >= minStreamTimeBeforeStop;
    const auto longest = m_context.responseTimes.longest(m_admitted.target->name);
    return longest && left >= m_context.stop.length() * earlyStopShare && left >= usualTimeFactor * *longest + maxServerSilence;
}

// A request that may last longer than the process could be interrupted. It has not been sent to any server yet, so another daemon
// can serve it immediately.
template <relay_protocol Protocol>
std::optional<refusal> relay_call<Protocol>::refusalWhileStopping() const
{
    if (!m_context.stop.isStopping() || canEndBeforeStop())
        return std::nullopt;
    return refusal { .status = 503, .title = "Stopping", .detail = "this daemon is stopping; another one serves", .retryAfter = stoppingRetryAfter };
}

} // namespace radishflow
