// Declares a modelled engine with its slots, prefix cache and cold limit.
#pragma once

#include "radishflow/Placement/cache_sketch.h"

#include "prefix_cache.h"
#include "sim_time.h"

#include <cstdint>
#include <deque>
#include <random>
#include <unordered_set>

namespace radishflow {

struct engine_options {
    std::uint32_t slots = 20;
    double coldLimit = 2; ///< Requests at once that a cold engine bears; one more for each that it completes.
    double prefillTokensPerSecond = 20000;
    sim_time importPerToken { 15e-6 }; ///< Export, transfer and import of a prefix.
    sim_time perToken { 0.04 };
    std::uint64_t cacheTokens = 1600000;
    double lostEventShare = 0.01; ///< Cache events that never arrive.
    sim_time eventDelay { 1 };
    std::size_t sketchPrefixes = 800;
};

/// One engine as its owner and the world see it; the simulation keeps the clock.
class engine_model {
public:
    explicit engine_model(const engine_options&);

    bool isUp = true;
    bool isReachable = true; ///< False while its zone is lost: attempts time out.
    bool isLeaving = false; ///< Ordered to leave; still admits for a moment.
    bool isAdmitting = true; ///< False once it leaves or its zone is out; known to its owner.
    double allowance; ///< Requests at once that it bears.
    sim_time prefillFree {};
    std::unordered_set<std::uint32_t> running;
    std::deque<std::uint32_t> waiting; ///< Only without a bound.

    bool isCold() const { return allowance < m_options.slots; }
    double warmShare() const { return allowance / m_options.slots; }
    std::size_t load() const { return running.size() + waiting.size(); }

    void storePrefix(std::uint64_t prefix, std::uint32_t tokens, sim_time now);
    std::uint32_t usePrefix(std::uint64_t prefix) { return m_cache.use(prefix); }

    /// Loses its cache and turns cold; running work is for the caller to take away.
    void restart(sim_time now);
    void complete();

    /// What has arrived of its cache events by now.
    const cache_sketch& sketch(sim_time now);

private:
    struct late_event {
        sim_time arrival;
        cache_event event;
    };

    void publish(cache_event_kind, std::uint64_t prefix, sim_time now);

    engine_options m_options;
    prefix_cache m_cache;
    cache_sketch m_sketch;
    std::deque<late_event> m_events;
    std::uint64_t m_sequence = 0;
    std::mt19937_64 m_random { 11 };
};

} // namespace radishflow
