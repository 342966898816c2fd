// Implements the bounded summary of an engine's prefix cache.
#include "radishflow/Placement/cache_sketch.h"

#include "radishflow/Placement/chat_server_hash.h"

#include <algorithm>

namespace radishflow {

// Hashing fills buckets unevenly; at an average of 5 of 8 entries, few buckets overflow.
static constexpr std::size_t targetBucketLoad = 5;

cache_sketch::cache_sketch(cache_sketch_options options)
    : m_buckets(std::max<std::size_t>(1, (options.prefixes + targetBucketLoad - 1) / targetBucketLoad))
{
}

std::size_t cache_sketch::bucketIndex(std::uint64_t prefix) const
{
    return mixBits(prefix) % m_buckets.size();
}

void cache_sketch::apply(const cache_event& event)
{
    if (m_hasSequence && event.sequence <= m_sequence)
        return;
    // The first event may have any number; unless it is 1, earlier events were missed.
    if (event.sequence != m_sequence + 1)
        markAllUncertain();
    m_hasSequence = true;
    m_sequence = event.sequence;
    switch (event.kind) {
    case cache_event_kind::Stored:
        return store(event.prefix);
    case cache_event_kind::Removed:
        return remove(event.prefix);
    case cache_event_kind::Cleared:
        return clear();
    }
}

void cache_sketch::restart()
{
    clear();
    m_sequence = 0;
    m_hasSequence = false;
}

prefix_state cache_sketch::stateOf(std::uint64_t prefix) const
{
    const bucket& target = m_buckets[bucketIndex(prefix)];
    for (std::size_t way = 0; way < target.used; ++way) {
        if (target.prefixes[way] == prefix)
            return (target.certainMask >> way) & 1U ? prefix_state::Held : prefix_state::Likely;
    }
    return target.isComplete ? prefix_state::NotHeld : prefix_state::Unknown;
}

std::vector<std::uint64_t> cache_sketch::prefixes() const
{
    std::vector<std::uint64_t> found;
    for (std::size_t way = 0; way < ways; ++way) {
        for (const bucket& target : m_buckets) {
            if (way < target.used)
                found.push_back(target.prefixes[way]);
        }
    }
    return found;
}

void cache_sketch::store(std::uint64_t prefix)
{
    remove(prefix);
    bucket& target = m_buckets[bucketIndex(prefix)];
    if (target.used == ways) {
        --target.used;
        target.isComplete = false;
    }
    std::copy_backward(target.prefixes.begin(), target.prefixes.begin() + target.used,
        target.prefixes.begin() + target.used + 1);
    target.prefixes.front() = prefix;
    ++target.used;
    target.certainMask = static_cast<std::uint8_t>((target.certainMask << 1U) | 1U);
}

void cache_sketch::remove(std::uint64_t prefix)
{
    bucket& target = m_buckets[bucketIndex(prefix)];
    const auto end = target.prefixes.begin() + target.used;
    const auto found = std::find(target.prefixes.begin(), end, prefix);
    if (found == end)
        return;
    const auto way = static_cast<unsigned>(found - target.prefixes.begin());
    std::copy(found + 1, end, found);
    --target.used;
    const unsigned below = target.certainMask & ((1U << way) - 1U);
    const unsigned above = static_cast<unsigned>(target.certainMask) >> (way + 1U);
    target.certainMask = static_cast<std::uint8_t>(below | (above << way));
}

void cache_sketch::clear()
{
    std::fill(m_buckets.begin(), m_buckets.end(), bucket {});
}

// A lost event may have stored or removed any prefix, so neither listed nor absent prefixes are certain.
void cache_sketch::markAllUncertain()
{
    for (bucket& target : m_buckets) {
        target.certainMask = 0;
        target.isComplete = false;
    }
}

} // namespace radishflow
