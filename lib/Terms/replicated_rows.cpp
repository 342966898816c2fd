// Implements replicated_rows. A row counts as unchanged from the receipt of the reply that first contained it until the
// last poll was sent, so delays can only shorten an observation.
#include "radishflow/Terms/replicated_rows.h"

#include <algorithm>

namespace radishflow {

void replicated_rows::applyPoll(const table_page& page, time_point sentAt, time_point receivedAt, duration maxPollGap)
{
    const bool isAfterGap = !m_lastPollSentAt || sentAt - *m_lastPollSentAt > maxPollGap;
    for (const table_row& row : page.rows)
        apply(row, receivedAt);
    if (isAfterGap) {
        for (auto& [daemon, renewal] : m_renewals)
            renewal.unchangedSince = receivedAt;
    }
    m_revision = std::max(m_revision, page.revision);
    m_lastPollSentAt = sentAt;
}

void replicated_rows::apply(const table_row& row, time_point observedAt)
{
    if (const auto daemon = daemonOfRenewalKey(row.key)) {
        const auto parsed = parseRenewalRow(row.value);
        observed_renewal& known = m_renewals[*daemon];
        if (parsed && row.modRevision > known.revision)
            known = { .row = *parsed, .revision = row.modRevision, .unchangedSince = observedAt };
        return;
    }
    const auto server = serverOfOwnershipKey(row.key);
    if (!server)
        return;
    const auto parsed = parseOwnershipRow(row.value);
    observed_ownership& known = m_ownerships[*server];
    if (parsed && row.modRevision > known.revision)
        known = { .row = *parsed, .revision = row.modRevision };
}

const observed_renewal* replicated_rows::renewalOf(const daemon_id& daemon) const
{
    const auto found = m_renewals.find(daemon);
    return found == m_renewals.end() || found->second.revision == 0 ? nullptr : &found->second;
}

const observed_ownership* replicated_rows::ownershipOf(const server_id& server) const
{
    const auto found = m_ownerships.find(server);
    return found == m_ownerships.end() || found->second.revision == 0 ? nullptr : &found->second;
}

bool replicated_rows::isLapsed(const observed_renewal& renewal, duration observeLength) const
{
    if (renewal.row.state != renewal_state::Live)
        return true;
    return m_lastPollSentAt && *m_lastPollSentAt - renewal.unchangedSince >= observeLength;
}

} // namespace radishflow
