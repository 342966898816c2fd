// Declares the sketch of which prefixes an engine's cache holds.
#pragma once

#include "radishflow/Placement/cache_event.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace radishflow {

/// What is known of a prefix. Only a hint: events are late.
enum class prefix_state : std::uint8_t {
    NotHeld,
    Unknown, ///< Events were missed, or the sketch had no room for it.
    Likely, ///< It was stored, and then events were missed.
    Held,
};

/// Whether it is worth going to where the prefix was.
constexpr bool isProbablyHeld(prefix_state state)
{
    return state == prefix_state::Held || state == prefix_state::Likely;
}

struct cache_sketch_options {
    std::size_t prefixes = 5700; ///< How many prefixes it has room for; memory grows with this only.
};

/// Follows the cache events of one engine in bounded memory: 8-way buckets of whole hashes, each bucket in
/// order of last use. After a gap nothing that it knew is certain until events confirm it. Not thread-safe.
class cache_sketch {
public:
    explicit cache_sketch(cache_sketch_options);

    /// Takes an event; one that is older than the last is ignored.
    void apply(const cache_event&);

    /// The engine restarted and numbers its events anew: it holds nothing, and the next number is accepted.
    void restart();

    prefix_state stateOf(std::uint64_t prefix) const;

    /// All prefixes that are held or likely, the most recently stored first (exact within a bucket,
    /// approximate between buckets).
    std::vector<std::uint64_t> prefixes() const;

    std::size_t memoryBytes() const { return m_buckets.size() * sizeof(bucket); }

private:
    static constexpr std::size_t ways = 8;

    struct bucket {
        std::array<std::uint64_t, ways> prefixes {}; ///< The most recently stored first.
        std::uint8_t used = 0;
        std::uint8_t certain = 0; ///< One bit a prefix.
        bool isComplete = true; ///< A prefix that is not listed is not held.
    };

    std::size_t indexOf(std::uint64_t prefix) const;
    void store(std::uint64_t prefix);
    void remove(std::uint64_t prefix);
    void clear();
    void doubtAll();

    std::vector<bucket> m_buckets;
    std::uint64_t m_sequence = 0;
    bool m_hasSequence = false;
};

} // namespace radishflow
