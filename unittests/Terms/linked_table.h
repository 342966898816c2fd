// One daemon's connection to a shared table in memory, which can be cut apart from the others'.
#pragma once

#include "../Support/memory_table.h"

#include <functional>

namespace radishflow {

/// Not thread-safe.
class linked_table {
public:
    explicit linked_table(memory_table& table)
        : m_table(table)
    {
    }

    bool isCut = false;
    int loseReplies = 0; ///< So many commits take effect and fail as ReplyLost.
    int loseRequests = 0; ///< So many commits have no effect and fail as ReplyLost.
    int delayRequests = 0; ///< So many commits fail as ReplyLost and take effect when they are delivered.
    std::string delayedKey; ///< Commits that write this key are delayed likewise.
    std::function<void()> duringCall; ///< Called before and after each call takes effect; time may pass in it.

    result<table_page> readRange(const std::string& prefix, std::int64_t minModRevision)
    {
        if (isCut)
            return fail({ .code = failure_code::Unreachable, .step = "read table", .peer = "memory" });
        pass();
        auto page = m_table.readRange(prefix, minModRevision);
        pass();
        return page;
    }

    result<table_commit> commit(const std::vector<row_condition>& conditions, const std::vector<row_write>& writes)
    {
        if (isCut)
            return fail({ .code = failure_code::Unreachable, .step = "write table", .peer = "memory" });
        if (delayRequests > 0 || writes.back().key == delayedKey) {
            delayRequests = std::max(delayRequests - 1, 0);
            m_delayed.push_back({ .conditions = conditions, .writes = writes });
            return fail({ .code = failure_code::ReplyLost, .step = "write table", .peer = "memory" });
        }
        pass();
        m_table.loseReplies = std::exchange(loseReplies, std::max(loseReplies - 1, 0)) > 0 ? 1 : 0;
        m_table.loseRequests = std::exchange(loseRequests, std::max(loseRequests - 1, 0)) > 0 ? 1 : 0;
        auto outcome = m_table.commit(conditions, writes);
        pass();
        return outcome;
    }

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

    void pass() const
    {
        if (duringCall)
            duringCall();
    }

    std::vector<delayed_commit> m_delayed;
    memory_table& m_table;
};

static_assert(transactional_table<linked_table>);

} // namespace radishflow
