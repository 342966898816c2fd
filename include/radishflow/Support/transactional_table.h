// Declares the concept of the platform's table that decision logic writes through.
#pragma once

#include "radishflow/Support/result.h"
#include "radishflow/Support/table_row.h"

#include <concepts>
#include <cstdint>
#include <string>
#include <vector>

namespace radishflow {

/// A table with conditional writes over several rows.
///
/// readRange(prefix, minModRevision) returns the rows under a prefix that were written at or after a
/// revision. commit(conditions, writes) does all writes or none. A commit that fails with
/// failure_code::ReplyLost may have taken effect; with failure_code::Unreachable it has not.
template <typename T>
concept transactional_table = requires(T& table, const std::string& prefix, std::int64_t minModRevision,
    const std::vector<row_condition>& conditions, const std::vector<row_write>& writes)
{
    {
        table.readRange(prefix, minModRevision)
        } -> std::same_as<result<table_page>>;
    {
        table.commit(conditions, writes)
        } -> std::same_as<result<table_commit>>;
};

} // namespace radishflow
