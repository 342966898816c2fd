// Declares attempts to write and read the table, with outcomes that distinguish a lost reply from an unsent request.
#pragma once

#include "radishflow/Support/transactional_table.h"

#include <optional>
#include <utility>
#include <vector>

namespace radishflow {

enum class commit_status {
    Succeeded,
    Conflict, ///< A condition did not hold; nothing was written.
    Unknown, ///< The write may have taken effect or may still do so.
    NotSent, ///< The table was unreachable; the write has no effect.
};

struct commit_attempt {
    commit_status status = commit_status::NotSent;
    table_commit commit;
    std::optional<failure> error;
};

/// Commits and classifies the outcome. Only failure_code::Unreachable means that nothing was sent.
template <transactional_table Table>
commit_attempt tryCommit(Table& table, const std::vector<row_condition>& conditions, const std::vector<row_write>& writes)
{
    return valueOr(
        [&]() -> result<commit_attempt> {
            BOOST_LEAF_AUTO(commit, table.commit(conditions, writes));
            const auto status = commit.succeeded ? commit_status::Succeeded : commit_status::Conflict;
            return commit_attempt { .status = status, .commit = std::move(commit) };
        },
        [](const failure& error) {
            const bool isNotSent = error.code == failure_code::Unreachable;
            return commit_attempt { .status = isNotSent ? commit_status::NotSent : commit_status::Unknown, .error = error };
        });
}

/// Either a page or the error of the read.
struct read_attempt {
    std::optional<table_page> page;
    std::optional<failure> error;
};

template <transactional_table Table>
read_attempt tryRead(Table& table, const std::string& prefix, std::int64_t minModRevision)
{
    return valueOr(
        [&]() -> result<read_attempt> {
            BOOST_LEAF_AUTO(page, table.readRange(prefix, minModRevision));
            return read_attempt { .page = std::move(page) };
        },
        [](const failure& error) { return read_attempt { .error = error }; });
}

} // namespace radishflow
