// Declares engine_model, which models the slots, prefix cache and cold-start limit of an engine.
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
    double coldLimit = 2; ///< Concurrent requests that a cold engine can run; each completed request raises the limit by one.
    double prefillTokensPerSecond = 20000;
    sim_time importTimePerToken { 15e-6 }; ///< Time per token to export, transfer and import a prefix.
    sim_time decodeTimePerToken { 0.04 };
    std::uint64_t cacheTokens = 1600000;
    double lostEventShare = 0.01; ///< Share of cache events that are lost in transit.
    sim_time eventDelay { 1 };
    std::size_t sketchPrefixes = 800;
};

/// Models one engine; the simulation passes the current time to each call.
class engine_model {
public:
    explicit engine_model(const engine_options&);

    bool isUp = true;
    bool isReachable = true; ///< False while its zone is unreachable: attempts time out.
    bool isLeaving = false; ///< Ordered to leave; it still admits requests for leaveDelay.
    bool isAdmitting = true; ///< False once it has left or its zone is out of service; its owner knows this.
    double concurrencyLimit; ///< Concurrent requests that the engine can run.
    sim_time prefillAvailableAt {};
    std::unordered_set<std::uint32_t> running;
    std::deque<std::uint32_t> queued; ///< Requests without a slot; used only if owners do not enforce a bound.

    bool isCold() const { return concurrencyLimit < m_options.slots; }
    double warmShare() const { return concurrencyLimit / m_options.slots; }
    std::size_t load() const { return running.size() + queued.size(); }

    void storePrefix(std::uint64_t prefix, std::uint32_t tokens, sim_time now);
    std::uint32_t usePrefix(std::uint64_t prefix) { return m_cache.use(prefix); }

    /// Clears the cache and resets the engine to cold. The caller removes the running requests.
    void restart(sim_time now);
    void complete();

    /// Returns the sketch built from the cache events received until `now`.
    const cache_sketch& sketch(sim_time now);

private:
    struct delayed_event {
        sim_time arrival;
        cache_event event;
    };

    void publish(cache_event_kind, std::uint64_t prefix, sim_time now);

    engine_options m_options;
    prefix_cache m_cache;
    cache_sketch m_sketch;
    std::deque<delayed_event> m_events;
    std::uint64_t m_sequence = 0;
    std::mt19937_64 m_random { 11 };
};

} // namespace radishflow
