// One daemon's connection to a shared table in memory, which can be cut apart from the others'.
#pragma once

#include "../Support/memory_table.h"

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

    result<table_page> readRange(const std::string& prefix, std::int64_t minModRevision)
    {
        if (isCut)
            return fail({ .code = failure_code::Unreachable, .step = "read table", .peer = "memory" });
        return m_table.readRange(prefix, minModRevision);
    }

    result<table_commit> commit(const std::vector<row_condition>& conditions, const std::vector<row_write>& writes)
    {
        if (isCut)
            return fail({ .code = failure_code::Unreachable, .step = "write table", .peer = "memory" });
        m_table.loseReplies = std::exchange(loseReplies, std::max(loseReplies - 1, 0)) > 0 ? 1 : 0;
        m_table.loseRequests = std::exchange(loseRequests, std::max(loseRequests - 1, 0)) > 0 ? 1 : 0;
        return m_table.commit(conditions, writes);
    }

private:
    memory_table& m_table;
};

static_assert(transactional_table<linked_table>);

} // namespace radishflow
