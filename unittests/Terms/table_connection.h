// Declares one daemon's connection to a shared in-memory table, with faults that affect only this connection.
#pragma once

#include "../Support/memory_table.h"

#include <functional>

namespace radishflow {

/// Not thread-safe.
class table_connection {
public:
    explicit table_connection(memory_table& table)
        : m_table(table)
    {
    }

    bool isDisconnected = false;
    int loseReplies = 0; ///< Number of next commits that take effect and fail with ReplyLost.
    int loseRequests = 0; ///< Number of next commits that have no effect and fail with ReplyLost.
    int delayRequests = 0; ///< Number of next commits that fail with ReplyLost and are applied by deliverDelayed().
    std::string delayedKey; ///< Commits that write this key last are delayed in the same way.
    std::function<void()> duringCall; ///< Called before and after each call takes effect; may advance clocks.

    result<table_page> readRange(const std::string& prefix, std::int64_t minModRevision)
    {
        if (isDisconnected)
            return fail({ .code = failure_code::Unreachable, .step = "read table", .peer = "memory" });
        notifyDuringCall();
        auto page = m_table.readRange(prefix, minModRevision);
        notifyDuringCall();
        return page;
    }

    result<table_commit> commit(const std::vector<row_condition>& conditions, const std::vector<row_write>& writes)
    {
        if (isDisconnected)
            return fail({ .code = failure_code::Unreachable, .step = "write table", .peer = "memory" });
        if (delayRequests > 0 || writes.back().key == delayedKey) {
            delayRequests = std::max(delayRequests - 1, 0);
            m_delayed.push_back({ .conditions = conditions, .writes = writes });
            return fail({ .code = failure_code::ReplyLost, .step = "write table", .peer = "memory" });
        }
        notifyDuringCall();
        m_table.loseReplies = std::exchange(loseReplies, std::max(loseReplies - 1, 0)) > 0 ? 1 : 0;
        m_table.loseRequests = std::exchange(loseRequests, std::max(loseRequests - 1, 0)) > 0 ? 1 : 0;
        auto outcome = m_table.commit(conditions, writes);
        notifyDuringCall();
        return outcome;
    }

    /// Applies the delayed commits to the table.
    void deliverDelayed()
    {
        m_table.loseReplies = 0;
        m_table.loseRequests = 0;
        for (const delayed_commit& delayed : std::exchange(m_delayed, {}))
            (void)m_table.commit(delayed.conditions, delayed.writes);
    }

private:
    struct delayed_commit {
        std::vector<row_condition> conditions;
        std::vector<row_write> writes;
    };

    void notifyDuringCall() const
    {
        if (duringCall)
            duringCall();
    }

    std::vector<delayed_commit> m_delayed;
    memory_table& m_table;
};

static_assert(transactional_table<table_connection>);

} // namespace radishflow
