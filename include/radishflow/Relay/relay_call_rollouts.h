// Implements the part of relay_call that takes part in roll-outs.
#pragma once

#include "radishflow/Support/hashing.h"

#include <cstdint>

namespace radishflow {

// A stream with fewer events is dominated by the reading of its prompt.
inline constexpr std::uint64_t minPacedEvents = 8;

// A request that failed at the target is sent to another version.
template <relay_protocol Protocol>
version_restriction relay_call<Protocol>::restrictionForRollout() const
{
    const time_point confirmedAt = now() - m_context.freshness.age(now());
    version_restriction restriction = m_context.rollouts.restrictionFor(*m_servers, m_admitted.service, stableHash(m_request.id.value()), m_version, confirmedAt);
    if (restriction.side == rollout_side::Target && restriction.hasAlternative && !m_history.servers.empty())
        restriction.side = rollout_side::Base;
    return restriction;
}

template <relay_protocol Protocol>
std::optional<duration> relay_call<Protocol>::responsePace() const
{
    const std::uint64_t events = m_eventSplitter.hasIds() ? m_eventSplitter.lastId() - m_lastEventBeforeAttempt : 0;
    if (m_firstPartAt && events >= minPacedEvents)
        return (m_lastPartAt - *m_firstPartAt) / static_cast<duration::rep>(events - 1);
    if (m_promptOrigin == prompt_origin::Read)
        return std::nullopt;
    return now() - m_attemptBegunAt;
}

// The daemon that sent the request to the server records its response.
template <relay_protocol Protocol>
void relay_call<Protocol>::recordForRollout(const listed_server& server, bool isFailure)
{
    if (!m_peer)
        m_context.rollouts.recordResponse(server, m_admitted.target->name, isFailure, responsePace());
}

} // namespace radishflow
