// Declares version_history, which states whether all servers of a service have lately had the same software version.
#pragma once

#include "radishflow/Routing/server_list.h"
#include "radishflow/Routing/stream_origin.h"

#include <chrono>
#include <map>
#include <mutex>
#include <optional>

namespace radishflow {

struct version_history_options {
    duration window = std::chrono::seconds { 30 }; ///< Longer than any interrupted stream is resumed after it began.
};

/// Remembers which versions of each service this daemon has seen listed. Thread-safe.
class version_history {
public:
    explicit version_history(const version_history_options& options = {})
        : m_options(options)
    {
    }

    /// Records the versions listed at a time; call it at least every few hundred milliseconds.
    void record(const server_list&, time_point now);

    /// Adds when versions of a service were last listed before this daemon followed the list, as recorded by others since a time.
    void merge(const service_id&, const std::map<version_key, time_point>& lastListedAt, time_point recordedSince);

    /// Returns the version of all servers that were listed for the service within the window; nothing if there were several,
    /// or if neither this daemon has followed the list for that long nor a record was added that reaches as far back.
    std::optional<version_key> soleVersion(const service_id&, time_point now) const;

    /// Returns whether the service of a version had another one listed within the window, or the version is unknown.
    bool isServiceMixed(const version_key&, time_point now) const;

    struct version_listing {
        time_point lastListedAt {};
        bool isListed = false; ///< As of the last call of record().
    };

    /// Returns the versions of each service that were listed within the window.
    std::map<service_id, std::map<version_key, version_listing>> versions() const;

private:
    version_history_options m_options;
    mutable std::mutex m_mutex;
    std::optional<time_point> m_startedAt;
    std::map<service_id, time_point> m_recordedSince; ///< Of the records that were added.
    std::map<service_id, std::map<version_key, version_listing>> m_versions;
};

} // namespace radishflow
