// Declares prefix_tracker, which tracks the prefixes in the caches of owned engines.
#pragma once

#include "radishflow/Placement/cache_event.h"
#include "radishflow/Placement/cache_sketch.h"
#include "radishflow/Support/ids.h"
#include "radishflow/Support/monotonic_clock.h"
#include "radishflow/Support/ranked_mutex.h"

#include <cstdint>
#include <span>
#include <unordered_map>
#include <vector>

namespace radishflow {

struct prefix_tracker_options {
    cache_sketch_options sketch; ///< Options of each engine's sketch.
    duration eventLag = std::chrono::seconds { 4 }; ///< Maximum time until an event has been read.
    std::size_t maxServed = 1024; ///< Maximum number of prefixes per engine that are known from responses alone.
};

/// Tracks the cache events of the engines that this daemon owns. The options bound the memory per owned engine.
/// Thread-safe; rank Prefixes.
class prefix_tracker {
public:
    explicit prefix_tracker(prefix_tracker_options options = {})
        : m_options(options)
    {
    }

    /// Returns the state of a prefix at an engine; Unknown for an engine that is not tracked.
    prefix_state stateOf(const server_id&, std::uint64_t prefix, time_point now) const;

    /// Records the start time of the engine's process in seconds since the epoch; a new process has an empty cache.
    void recordProcessStart(const server_id&, double startTime);

    /// Returns the sequence number at which the next page of the engine's events starts.
    std::uint64_t nextEvent(const server_id&) const;

    /// Applies the events of one page; next is the sequence number at which the next page starts.
    void apply(const server_id&, std::span<const cache_event>, std::uint64_t next);

    /// Records that the engine has served the prefix before its cache event is read.
    void recordServed(const server_id&, std::uint64_t prefix, time_point now);

    /// Removes all engines except the given ones.
    void retainOnly(std::span<const server_id> owned);

    std::size_t engines() const;

private:
    struct engine_cache {
        explicit engine_cache(cache_sketch_options options)
            : sketch(options)
        {
        }

        cache_sketch sketch;
        std::unordered_map<std::uint64_t, time_point> served; ///< Time at which each prefix was last served.
        double startTime = 0;
        std::uint64_t next = 0;
    };

    engine_cache& cacheOf(const server_id&);

    prefix_tracker_options m_options;
    mutable ranked_mutex m_mutex { lock_rank::Prefixes };
    std::unordered_map<server_id, engine_cache> m_engines;
};

} // namespace radishflow
