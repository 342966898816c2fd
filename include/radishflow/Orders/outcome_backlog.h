// Declares outcome_backlog, which keeps outcomes while the table is dark.
#pragma once

#include "radishflow/Orders/pending_outcome.h"
#include "radishflow/Support/ranked_mutex.h"

#include <cstddef>
#include <deque>
#include <optional>

namespace radishflow {

/// A bounded queue. A full one drops its oldest outcome, which stays unknown to other daemons; beyond the
/// bound of bytes an response is kept without its body. Thread-safe; rank Orders.
class outcome_backlog {
public:
    void push(pending_outcome);

    /// Returns the oldest outcome.
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
