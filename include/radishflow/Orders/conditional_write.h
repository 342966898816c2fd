// Declares writeConditionally, a conditional write of one row that is repeated when the reply is lost.
#pragma once

#include "radishflow/Support/transactional_table.h"

#include <optional>
#include <string>

namespace radishflow {

enum class write_outcome {
    Written, ///< The row has the value.
    Conflict, ///< The row has another value, which `current` holds, or was removed.
    Indeterminate, ///< Not known whether the write took effect or will do so later.
};

struct conditional_write_result {
    write_outcome outcome = write_outcome::Indeterminate;
    table_row current {}; ///< When Conflict.
    std::int64_t modRevision = 0; ///< When Written.
    std::string detail {}; ///< When Indeterminate.
};

/// Writes a row if it still has the given revision. The value must be unique to this write or to writes of
/// the same meaning, because a row that has it counts as written. After a lost reply the write is repeated;
/// a read would not do, because it can't show whether the lost request is still in transit.
template <transactional_table Table>
conditional_write_result writeConditionally(Table& table, const std::string& key, std::int64_t modRevision, const std::string& value)
{
    constexpr int maximumAttempts = 3;
    std::string detail;
    for (int i = 0; i < maximumAttempts; ++i) {
        failure_code code = failure_code::ReplyLost;
        const std::optional<table_commit> commit = valueOr(
            [&]() -> result<std::optional<table_commit>> {
                BOOST_LEAF_AUTO(committed, table.commit({ { .key = key, .modRevision = modRevision } }, { { .key = key, .value = value } }));
                return committed;
            },
            [&](const failure& error) -> std::optional<table_commit> {
                code = error.code;
                detail = describe(error);
                return std::nullopt;
            });
        if (!commit) {
            if (code != failure_code::ReplyLost)
                break;
            continue;
        }
        if (commit->succeeded)
            return { .outcome = write_outcome::Written, .modRevision = commit->revision };
        const table_row seen = commit->seen.empty() ? table_row {} : commit->seen.front();
        if (seen.value == value)
            return { .outcome = write_outcome::Written, .modRevision = seen.modRevision };
        return { .outcome = write_outcome::Conflict, .current = seen };
    }
    return { .detail = detail };
}

} // namespace radishflow
