// Declares engine_batch, the engine stand-in's decisions: who runs, who waits, when a token comes, when it falls over.
#pragma once

#include "radishflow/Emulator/engine_emulator_options.h"

#include "engine_record.h"
#include "generation.h"
#include "prefix_cache.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace radishflow {

using generation_ptr = std::shared_ptr<generation>;

/// Continuous batching over finite slots. Not thread-safe; does no I/O and reads no clock.
class engine_batch {
public:
    engine_batch(const engine_emulator_options&, time_point now);

    /// Takes a request. A cold engine that has too many falls over, and the request is lost with the others.
    generation_ptr admit(generation_request, time_point now);

    /// Produces the tokens that are due, fills free slots and forgets generations without a connection.
    void advance(time_point now);

    /// Returns a generation that can be resumed, or nothing.
    generation_ptr find(const std::string& id) const;

    /// Lets a new connection read a generation; the earlier one ends.
    int attach(generation&);

    /// Notes that a connection is gone, unless another has taken over.
    void detach(generation&, int attachment, time_point now);

    bool cancel(const std::string& id);
    void turnCold(time_point now);

    /// Calls visit(generation&) for each generation that changed since the last call.
    template <typename Visitor>
    void takeChanged(Visitor visit)
    {
        for (const generation_ptr& changed : m_changed)
            visit(*changed);
        m_changed.clear();
    }

    int running() const { return static_cast<int>(m_running.size()); }
    int waiting() const { return static_cast<int>(m_waiting.size()); }
    std::map<std::uint64_t, int> runningByOrigin() const;
    bool isCold() const { return m_isCold; }
    std::uint64_t life() const { return m_life; } ///< Grows each time it falls over.
    std::int64_t completedInLife() const { return m_completedInLife; }
    prefix_cache& cache() { return m_cache; }
    engine_record& record() { return m_record; }

private:
    void start(const generation_ptr&, time_point now);
    void fillSlots(time_point now);
    void produce(const generation_ptr&, time_point now);
    void end(const generation_ptr&, generation_state);
    void fallOver(time_point now);
    void beginCold(time_point now);
    int slowdown() const { return m_isCold ? m_options.coldSlowdown : 1; }

    engine_emulator_options m_options;
    prefix_cache m_cache;
    engine_record m_record;
    std::map<std::string, generation_ptr> m_known;
    std::vector<generation_ptr> m_running;
    std::vector<generation_ptr> m_waiting;
    std::vector<generation_ptr> m_changed;
    std::uint64_t m_arrivals = 0;
    std::uint64_t m_life = 0;
    std::int64_t m_completedInLife = 0;
    bool m_isCold = false;
    time_point m_coldSince {};
    int m_completedWhileCold = 0;
};

} // namespace radishflow
