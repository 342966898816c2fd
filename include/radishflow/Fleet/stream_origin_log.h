// Declares stream_origin_log, the origins of recent streams that are to be passed on once each.
#pragma once

#include "radishflow/Routing/stream_origin.h"
#include "radishflow/Support/monotonic_clock.h"
#include "radishflow/Support/ranked_mutex.h"

#include <chrono>
#include <cstddef>
#include <functional>
#include <mutex>
#include <unordered_map>
#include <vector>

namespace radishflow {

struct stream_origin_log_options {
    duration lifetime = std::chrono::seconds { 30 }; ///< Callers resume a stream within its deadline.
    std::size_t maxOrigins = 50000;
};

/// Whether an origin is needed may turn out later, when a second version of a service appears. Thread-safe under one lock of rank
/// Statistics.
class stream_origin_log {
public:
    explicit stream_origin_log(const stream_origin_log_options& options = {})
        : m_options(options)
    {
    }

    /// Adds an origin unless the log holds the stream or is full.
    void add(const stream_origin& origin, time_point now)
    {
        const std::lock_guard lock { m_mutex };
        if (m_entries.size() < m_options.maxOrigins)
            m_entries.try_emplace(origin.stream, entry { .version = origin.version, .addedAt = now });
    }

    /// Returns at most `maxCount` origins of versions for which isNeeded(version) holds and that have not been taken. Removes expired
    /// ones.
    std::vector<stream_origin> take(const std::function<bool(const version_key&)>& isNeeded, std::size_t maxCount, time_point now)
    {
        const std::lock_guard lock { m_mutex };
        std::erase_if(m_entries, [&](const auto& held) { return now - held.second.addedAt > m_options.lifetime; });
        std::vector<stream_origin> taken;
        for (auto& [stream, held] : m_entries) {
            if (taken.size() == maxCount)
                break;
            if (held.isTaken || !isNeeded(held.version))
                continue;
            held.isTaken = true;
            taken.push_back({ .stream = stream, .version = held.version });
        }
        return taken;
    }

    /// Lets origins be taken again that could not be passed on.
    void putBack(const std::vector<stream_origin>& origins)
    {
        const std::lock_guard lock { m_mutex };
        for (const stream_origin& origin : origins) {
            if (const auto held = m_entries.find(origin.stream); held != m_entries.end())
                held->second.isTaken = false;
        }
    }

    /// Lets all origins be taken again.
    void putBackAll()
    {
        const std::lock_guard lock { m_mutex };
        for (auto& [stream, held] : m_entries)
            held.isTaken = false;
    }

private:
    struct entry {
        version_key version;
        time_point addedAt {};
        bool isTaken = false;
    };

    stream_origin_log_options m_options;
    ranked_mutex m_mutex { lock_rank::Statistics };
    std::unordered_map<stream_key, entry> m_entries;
};

} // namespace radishflow
