// Declares platform_client, which reaches the platform's table, object store and host list over HTTP.
#pragma once

#include "radishflow/Platform/listed_host.h"
#include "radishflow/Platform/platform_options.h"
#include "radishflow/Support/result.h"
#include "radishflow/Support/transactional_table.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace radishflow {

/// Client of the platform; every call opens a connection of its own. Thread-safe, holds no lock.
///
/// A write fails as Unreachable only when nothing was sent, as Refused when the platform answered that it
/// did not do it, and as ReplyLost in every other case. A read fails as Unreachable, TimedOut, Refused or
/// Broken. The process has to ignore SIGPIPE.
class platform_client {
public:
    explicit platform_client(platform_options options)
        : m_options(std::move(options))
    {
    }

    /// Returns the rows under a prefix that were written at or after a revision; 0 or less means all.
    result<table_page> readRange(const std::string& prefix, std::int64_t minModRevision);

    /// Returns one row, or none when it does not exist.
    result<std::optional<table_row>> readRow(const std::string& key);

    /// Does all writes if all conditions hold, else none and returns the rows of the conditions.
    result<table_commit> commit(const std::vector<row_condition>& conditions, const std::vector<row_write>& writes);

    /// Stores an object that does not exist yet; fails as Conflict when it does.
    result<void> putObject(const std::string& key, const std::string& bytes);

    /// Returns an object's bytes; fails as NotFound when there is none.
    result<std::string> getObject(const std::string& key);

    /// Returns the platform's host list.
    result<std::vector<listed_host>> listHosts();

private:
    platform_options m_options;
};

static_assert(transactional_table<platform_client>);

} // namespace radishflow
