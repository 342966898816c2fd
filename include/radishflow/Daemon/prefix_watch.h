// Declares prefix_watch, what an owner knows of the prefixes that its engines' caches hold.
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

struct prefix_watch_options {
    cache_sketch_options sketch; ///< Of each engine.
    duration eventLag = std::chrono::seconds { 4 }; ///< Longest time until an event has been read.
    std::size_t mostServed = 1024; ///< Prefixes of each engine that are known from answers alone.
};

/// Follows the cache events of the engines that this daemon owns. Memory is bounded by the options for each
/// owned engine. Thread-safe; rank Prefixes.
class prefix_watch {
public:
    explicit prefix_watch(prefix_watch_options options = {})
        : m_options(options)
    {
    }

    /// What is known of a prefix at an engine; Unknown for an engine that isn't followed.
    prefix_state stateOf(const server_id&, std::uint64_t prefix, time_point now) const;

    /// Notes the start of the engine's process; another one than before has an empty cache.
    void noteStart(const server_id&, double startTime);

    /// The number from which the engine's events are to be read on.
    std::uint64_t nextEvent(const server_id&) const;

    /// Takes the events of one page and the number from which to read on.
    void apply(const server_id&, std::span<const cache_event>, std::uint64_t next);

    /// Notes that the engine has begun an answer for the prefix, which its events will only tell later.
    void noteServed(const server_id&, std::uint64_t prefix, time_point now);

    /// Forgets the engines that are not among these.
    void keepOnly(std::span<const server_id> owned);

    std::size_t engines() const;

private:
    struct engine_cache {
        explicit engine_cache(cache_sketch_options options)
            : sketch(options)
        {
        }

        cache_sketch sketch;
        std::unordered_map<std::uint64_t, time_point> served; ///< When each was last begun.
        double startTime = 0;
        std::uint64_t next = 0;
    };

    engine_cache& cacheOf(const server_id&);

    prefix_watch_options m_options;
    mutable ranked_mutex m_mutex { lock_rank::Prefixes };
    std::unordered_map<server_id, engine_cache> m_engines;
};

} // namespace radishflow
