// Implements probe_table.
#include "radishflow/Membership/probe_table.h"

#include <algorithm>
#include <utility>

namespace radishflow {

std::optional<probe> probe_table::start(probe subject, time_point now)
{
    if (m_probes.size() >= maxOpen)
        return std::nullopt;
    subject.sequence = ++m_lastSequence;
    subject.startedAt = now;
    m_probes[subject.sequence] = subject;
    return subject;
}

std::vector<probe_step> probe_table::advance(time_point now)
{
    std::vector<probe_step> steps;
    for (auto place = m_probes.begin(); place != m_probes.end();) {
        probe& subject = place->second;
        const duration age = now - subject.startedAt;
        if (age >= m_options.probeTimeout) {
            steps.push_back({ .due = probe_step::action::Fail, .subject = subject });
            place = m_probes.erase(place);
            continue;
        }
        if (subject.stage == 0 && age >= m_options.pingRetryAfter) {
            subject.stage = 1;
            steps.push_back({ .due = probe_step::action::Repeat, .subject = subject });
        }
        if (subject.stage == 1 && age >= m_options.indirectAfter) {
            subject.stage = probe::indirectStage;
            steps.push_back({ .due = probe_step::action::ProbeIndirectly, .subject = subject });
        }
        ++place;
    }
    return steps;
}

std::optional<probe> probe_table::acknowledge(std::uint64_t sequence)
{
    const auto place = m_probes.find(sequence);
    if (place == m_probes.end())
        return std::nullopt;
    probe subject = std::move(place->second);
    m_probes.erase(place);
    return subject;
}

bool probe_table::isOpen(const daemon_id& target) const
{
    return std::any_of(m_probes.begin(), m_probes.end(), [&](const auto& held) {
        return held.second.target == target && held.second.reason == probe::purpose::OwnRegion;
    });
}

} // namespace radishflow
