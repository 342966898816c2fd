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

    /// Returns the version of all servers that were listed for the service within the window; nothing if there were several,
    /// or if this daemon has not followed the list for that long.
    std::optional<version_key> soleVersion(const service_id&, time_point now) const;

private:
    version_history_options m_options;
    mutable std::mutex m_mutex;
    std::optional<time_point> m_startedAt;
    std::map<service_id, std::map<version_key, time_point>> m_lastListedAt;
};

} // namespace radishflow
