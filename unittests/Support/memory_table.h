// A table in memory with faults, for tests of decision logic in virtual time.
#pragma once

#include "radishflow/Support/transactional_table.h"

#include <algorithm>
#include <map>
#include <string>
#include <vector>

namespace radishflow {

/// Not thread-safe. Faults apply until they are taken back; counts go down with each use.
class memory_table {
public:
    bool isDown = false; ///< Every call fails as Unreachable.
    int loseReplies = 0; ///< So many commits take effect and fail as ReplyLost.
    int loseRequests = 0; ///< So many commits have no effect and fail as ReplyLost.
    int commits = 0;
    int reads = 0;

    result<table_page> readRange(const std::string& prefix, std::int64_t minModRevision)
    {
        ++reads;
        if (isDown)
            return fail({ .code = failure_code::Unreachable, .step = "read table", .peer = "memory" });
        table_page page { .revision = m_revision, .rows = {} };
        for (auto row = m_rows.lower_bound(prefix); row != m_rows.end() && row->first.starts_with(prefix); ++row) {
            if (row->second.modRevision >= minModRevision)
                page.rows.push_back(row->second);
        }
        return page;
    }

    result<table_commit> commit(const std::vector<row_condition>& conditions, const std::vector<row_write>& writes)
    {
        ++commits;
        if (isDown)
            return fail({ .code = failure_code::Unreachable, .step = "write table", .peer = "memory" });
        if (loseRequests > 0) {
            --loseRequests;
            return fail({ .code = failure_code::ReplyLost, .step = "write table", .peer = "memory" });
        }
        table_commit outcome = apply(conditions, writes);
        if (loseReplies > 0) {
            --loseReplies;
            return fail({ .code = failure_code::ReplyLost, .step = "write table", .peer = "memory" });
        }
        return outcome;
    }

private:
    table_commit apply(const std::vector<row_condition>& conditions, const std::vector<row_write>& writes)
    {
        const bool holds = std::all_of(conditions.begin(), conditions.end(), [&](const row_condition& condition) {
            const auto row = m_rows.find(condition.key);
            return (row == m_rows.end() ? 0 : row->second.modRevision) == condition.modRevision;
        });
        table_commit outcome { .succeeded = holds, .revision = m_revision, .seen = {} };
        if (!holds) {
            for (const row_condition& condition : conditions) {
                if (const auto row = m_rows.find(condition.key); row != m_rows.end())
                    outcome.seen.push_back(row->second);
            }
            return outcome;
        }
        outcome.revision = ++m_revision;
        for (const row_write& write : writes) {
            table_row& row = m_rows[write.key];
            row.key = write.key;
            row.value = write.value;
            row.createRevision = row.createRevision == 0 ? m_revision : row.createRevision;
            row.modRevision = m_revision;
        }
        return outcome;
    }

    std::map<std::string, table_row> m_rows;
    std::int64_t m_revision = 0;
};

static_assert(transactional_table<memory_table>);

} // namespace radishflow
