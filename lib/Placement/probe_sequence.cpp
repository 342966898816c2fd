// Implements the order in which an entry asks the owners of a chat's servers.
#include "radishflow/Placement/probe_sequence.h"

#include <algorithm>

namespace radishflow {

probe_sequence::probe_sequence(server_ranking ranking, probe_sequence_options options)
    : m_ranking(std::move(ranking))
    , m_homes(std::min(options.affinityRanks, m_ranking.size()))
{
}

// A chat that was sent elsewhere while its first rank was full or out has its prefix at the second, and a new
// chat goes to the less loaded of the two, which evens out the loads without any delayed view. Asking costs a
// message between daemons; a prefix that is missed costs a whole prefill.
std::optional<placement_attempt> probe_sequence::next()
{
    if (m_next < m_homes) {
        m_last = { .server = m_ranking[m_next++], .onlyIfHeld = true };
        return m_last;
    }
    if (!m_offers.empty()) {
        m_last = { .server = m_offers.back().server, .onlyIfHeld = false, .holder = m_holder };
        m_offers.pop_back();
        return m_last;
    }
    if (m_next == m_ranking.size())
        return std::nullopt;
    m_last = { .server = m_ranking[m_next++], .onlyIfHeld = false, .holder = m_holder };
    return m_last;
}

void probe_sequence::refused(const owner_refusal& refusal)
{
    if (!m_last.onlyIfHeld)
        return;
    if (!refusal.hasRoom) {
        if (!m_holder && isProbablyHeld(refusal.held))
            m_holder = m_last.server;
        return;
    }
    // Of equal loads the earlier rank is to come first, so it goes behind the others.
    const auto place = std::find_if(m_offers.begin(), m_offers.end(),
        [&](const home_offer& offer) { return offer.load <= refusal.load; });
    m_offers.insert(place, { refusal.load, m_last.server });
}

} // namespace radishflow
