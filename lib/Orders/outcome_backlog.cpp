// Implements outcome_backlog, the bounded queue of outcomes to be written to the table.
#include "radishflow/Orders/outcome_backlog.h"

#include <mutex>
#include <utility>

namespace radishflow {

void outcome_backlog::push(pending_outcome outcome)
{
    const std::lock_guard lock(m_mutex);
    if (m_outcomes.size() >= maximumOutcomes) {
        m_bodyBytes -= m_outcomes.front().response.body.size();
        m_outcomes.pop_front();
    }
    outcome.response = limitBody(std::move(outcome.response), maximumBodyBytes - m_bodyBytes);
    m_bodyBytes += outcome.response.body.size();
    m_outcomes.push_back(std::move(outcome));
}

std::optional<pending_outcome> outcome_backlog::pop()
{
    const std::lock_guard lock(m_mutex);
    if (m_outcomes.empty())
        return std::nullopt;
    pending_outcome outcome = std::move(m_outcomes.front());
    m_outcomes.pop_front();
    m_bodyBytes -= outcome.response.body.size();
    return outcome;
}

std::size_t outcome_backlog::size() const
{
    const std::lock_guard lock(m_mutex);
    return m_outcomes.size();
}

} // namespace radishflow
