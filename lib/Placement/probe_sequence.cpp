// Implements the order in which a request is sent to the owners of a chat's servers.
#include "radishflow/Placement/probe_sequence.h"

#include <algorithm>

namespace radishflow {

probe_sequence::probe_sequence(server_ranking ranking, probe_sequence_options options)
    : m_ranking(std::move(ranking))
    , m_affinityCount(std::min(options.affinityRanks, m_ranking.size()))
{
}

// A chat that was placed while its first rank was full or unavailable has its prefix at the second rank. A new chat
// goes to the less loaded of the affinity ranks, which balances the loads by current instead of delayed values. Asking
// an owner costs one message between daemons; missing a cached prefix costs a full prefill.
std::optional<placement_attempt> probe_sequence::next()
{
    if (m_next < m_affinityCount) {
        m_lastAttempt = { .server = m_ranking[m_next++], .onlyIfHeld = true };
        return m_lastAttempt;
    }
    if (!m_fallbacks.empty()) {
        m_lastAttempt = { .server = m_fallbacks.back().server, .onlyIfHeld = false, .holder = m_holder };
        m_fallbacks.pop_back();
        return m_lastAttempt;
    }
    if (m_next == m_ranking.size())
        return std::nullopt;
    m_lastAttempt = { .server = m_ranking[m_next++], .onlyIfHeld = false, .holder = m_holder };
    return m_lastAttempt;
}

void probe_sequence::recordRefusal(const owner_refusal& refusal)
{
    if (!m_lastAttempt.onlyIfHeld)
        return;
    if (!refusal.hasRoom) {
        if (!m_holder && isProbablyHeld(refusal.held))
            m_holder = m_lastAttempt.server;
        return;
    }
    // Insert before equal loads: the list is consumed from the back, so the earlier rank is tried first.
    const auto position = std::find_if(m_fallbacks.begin(), m_fallbacks.end(),
        [&](const fallback_server& fallback) { return fallback.load <= refusal.load; });
    m_fallbacks.insert(position, { refusal.load, m_lastAttempt.server });
}

} // namespace radishflow
