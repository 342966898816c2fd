// Declares outcome_backlog, which queues outcomes of orders while the table is unreachable.
#pragma once

#include "radishflow/Orders/pending_outcome.h"
#include "radishflow/Support/ranked_mutex.h"

#include <cstddef>
#include <deque>
#include <optional>

namespace radishflow {

/// A bounded queue. When full, it drops its oldest outcome, which then stays unknown to other daemons. A
/// response that exceeds the limit of body bytes is queued without its body. Thread-safe; its mutex has rank
/// Orders.
class outcome_backlog {
public:
    void push(pending_outcome);

    /// Removes and returns the oldest outcome, or nothing when the queue is empty.
    std::optional<pending_outcome> pop();

    std::size_t size() const;

private:
    static constexpr std::size_t maximumOutcomes = 4096;
    static constexpr std::size_t maximumBodyBytes = std::size_t { 4 } * 1024 * 1024;

    mutable ranked_mutex m_mutex { lock_rank::Orders };
    std::deque<pending_outcome> m_outcomes;
    std::size_t m_bodyBytes = 0;
};

} // namespace radishflow
