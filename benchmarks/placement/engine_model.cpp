// Implements engine_model.
#include "engine_model.h"

#include <algorithm>

namespace radishflow {

engine_model::engine_model(const engine_options& options)
    : concurrencyLimit(options.slots)
    , m_options(options)
    , m_cache(options.cacheTokens)
    , m_sketch({ .prefixes = options.sketchPrefixes })
{
}

void engine_model::publish(cache_event_kind kind, std::uint64_t prefix, sim_time now)
{
    const cache_event event { .sequence = ++m_sequence, .kind = kind, .prefix = prefix };
    if (!std::bernoulli_distribution { m_options.lostEventShare }(m_random))
        m_events.push_back({ now + m_options.eventDelay, event });
}

void engine_model::storePrefix(std::uint64_t prefix, std::uint32_t tokens, sim_time now)
{
    const std::vector<std::uint64_t> removed = m_cache.store(prefix, tokens);
    publish(cache_event_kind::Stored, prefix, now);
    for (const std::uint64_t evicted : removed)
        publish(cache_event_kind::Removed, evicted, now);
}

void engine_model::restart(sim_time now)
{
    m_cache.clear();
    publish(cache_event_kind::Cleared, 0, now);
    concurrencyLimit = m_options.coldLimit;
    prefillAvailableAt = now;
}

void engine_model::complete()
{
    concurrencyLimit = std::min<double>(concurrencyLimit + 1, m_options.slots);
}

const cache_sketch& engine_model::sketch(sim_time now)
{
    while (!m_events.empty() && m_events.front().arrival <= now) {
        m_sketch.apply(m_events.front().event);
        m_events.pop_front();
    }
    return m_sketch;
}

} // namespace radishflow
