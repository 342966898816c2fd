// Implements the sketch of which prefixes an engine's cache holds.
#include "radishflow/Placement/cache_sketch.h"

#include "radishflow/Placement/chat_server_hash.h"

#include <algorithm>

namespace radishflow {

// Buckets fill unevenly; at 5 of 8 on average few overflow.
static constexpr std::size_t plannedUse = 5;

cache_sketch::cache_sketch(cache_sketch_options options)
    : m_buckets(std::max<std::size_t>(1, (options.prefixes + plannedUse - 1) / plannedUse))
{
}

std::size_t cache_sketch::indexOf(std::uint64_t prefix) const
{
    return mixBits(prefix) % m_buckets.size();
}

void cache_sketch::apply(const cache_event& event)
{
    if (m_hasSequence && event.sequence <= m_sequence)
        return;
    // The first number that is seen may be any, and what came before it is unknown.
    if (event.sequence != m_sequence + 1)
        doubtAll();
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
    const bucket& place = m_buckets[indexOf(prefix)];
    for (std::size_t way = 0; way < place.used; ++way) {
        if (place.prefixes[way] == prefix)
            return (place.certain >> way) & 1U ? prefix_state::Held : prefix_state::Likely;
    }
    return place.isComplete ? prefix_state::NotHeld : prefix_state::Unknown;
}

std::vector<std::uint64_t> cache_sketch::prefixes() const
{
    std::vector<std::uint64_t> found;
    for (std::size_t way = 0; way < ways; ++way) {
        for (const bucket& place : m_buckets) {
            if (way < place.used)
                found.push_back(place.prefixes[way]);
        }
    }
    return found;
}

void cache_sketch::store(std::uint64_t prefix)
{
    remove(prefix);
    bucket& place = m_buckets[indexOf(prefix)];
    if (place.used == ways) {
        --place.used;
        place.isComplete = false;
    }
    std::copy_backward(place.prefixes.begin(), place.prefixes.begin() + place.used,
        place.prefixes.begin() + place.used + 1);
    place.prefixes.front() = prefix;
    ++place.used;
    place.certain = static_cast<std::uint8_t>((place.certain << 1U) | 1U);
}

void cache_sketch::remove(std::uint64_t prefix)
{
    bucket& place = m_buckets[indexOf(prefix)];
    const auto end = place.prefixes.begin() + place.used;
    const auto found = std::find(place.prefixes.begin(), end, prefix);
    if (found == end)
        return;
    const auto way = static_cast<unsigned>(found - place.prefixes.begin());
    std::copy(found + 1, end, found);
    --place.used;
    const unsigned below = place.certain & ((1U << way) - 1U);
    const unsigned above = static_cast<unsigned>(place.certain) >> (way + 1U);
    place.certain = static_cast<std::uint8_t>(below | (above << way));
}

void cache_sketch::clear()
{
    std::fill(m_buckets.begin(), m_buckets.end(), bucket {});
}

// A lost event may have stored or removed anything, so neither a listed nor an absent prefix is sure.
void cache_sketch::doubtAll()
{
    for (bucket& place : m_buckets) {
        place.certain = 0;
        place.isComplete = false;
    }
}

} // namespace radishflow
