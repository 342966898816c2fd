// Declares a bounded summary of the prefixes that an engine's cache holds, built from the engine's cache events.
#pragma once

#include "radishflow/Placement/cache_event.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace radishflow {

/// Cache state of a prefix according to the events received so far. A hint only, since events arrive late.
enum class prefix_state : std::uint8_t {
    NotHeld,
    Unknown, ///< Events were lost, or the prefix may have been evicted from the sketch.
    Likely, ///< The prefix was stored, and events were lost since.
    Held,
};

/// Returns whether the prefix is held or was stored before events were lost.
constexpr bool isProbablyHeld(prefix_state state)
{
    return state == prefix_state::Held || state == prefix_state::Likely;
}

struct cache_sketch_options {
    std::size_t prefixes = 5700; ///< Planned number of prefixes; alone determines the memory used.
};

/// Summarizes the cache of one engine in bounded memory: 8-way buckets of full hashes, each bucket ordered from the
/// most to the least recently stored. Lost events make every entry uncertain until a later event confirms it. Not
/// thread-safe.
class cache_sketch {
public:
    explicit cache_sketch(cache_sketch_options);

    /// Applies an event; ignores events that are not newer than the last one.
    void apply(const cache_event&);

    /// Empties the sketch after a restart of the engine, and accepts any sequence number next.
    void restart();

    prefix_state stateOf(std::uint64_t prefix) const;

    /// Returns all prefixes in state Held or Likely, most recently stored first (exact within a bucket,
    /// approximate between buckets).
    std::vector<std::uint64_t> prefixes() const;

    std::size_t memoryBytes() const { return m_buckets.size() * sizeof(bucket); }

private:
    static constexpr std::size_t ways = 8;

    struct bucket {
        std::array<std::uint64_t, ways> prefixes {}; ///< Most recently stored first.
        std::uint8_t used = 0;
        std::uint8_t certainMask = 0; ///< One bit per entry of `prefixes`: set when no event was lost since it was stored.
        bool isComplete = true; ///< Whether a prefix that is not listed is certainly not held.
    };

    std::size_t bucketIndex(std::uint64_t prefix) const;
    void store(std::uint64_t prefix);
    void remove(std::uint64_t prefix);
    void clear();
    void markAllUncertain();

    std::vector<bucket> m_buckets;
    std::uint64_t m_sequence = 0;
    bool m_hasSequence = false;
};

} // namespace radishflow
