// Declares fleet_state, the modelled servers with their owners' limits and the delayed views that deciders use.
#pragma once

#include "radishflow/Placement/move_planner.h"
#include "radishflow/Placement/placement_server.h"

#include "engine_model.h"
#include "fleet_layout.h"
#include "fleet_options.h"
#include "measurements.h"
#include "sim_time.h"

#include <cstddef>
#include <deque>
#include <span>
#include <vector>

namespace radishflow {

/// Holds the engines, the admission limits of their owners and the views of the deciders. The simulation assigns the requests.
class fleet_state {
public:
    static constexpr sim_time tickLength { 0.5 };
    static constexpr sim_time exportTickLength { 0.05 };

    fleet_state(const fleet_layout&, const fleet_options&);

    engine_model& engine(std::size_t index) { return m_engines[index]; }
    std::size_t size() const { return m_engines.size(); }

    /// Adds a request to the mean load. The engine must be up; a server out of service is not counted.
    void addLoad(std::size_t index);
    void removeLoad(std::size_t index);

    /// Returns whether the owner admits one more request.
    bool admits(std::size_t index) const;

    /// Returns the load as a share of the limit that the owner applies now.
    double loadShare(std::size_t index) const;

    /// Returns whether the load exceeds loadMultiple x the true mean + 1 slot now.
    bool isAboveBound(std::size_t index) const;

    /// Recomputes the mean load; call after the set of servers in service has changed.
    void recomputeLoads();

    /// Publishes the views and the mean load; call once per tick.
    void tick();
    void sampleSkew(sim_time now, measurements&) const;

    /// Returns the view of the servers that is `delay` old.
    std::span<const placement_server> view(sim_time delay) const;

    /// Plans exports from every engine after the set of servers in service has changed.
    void planExports(sim_time now);
    void runExports(sim_time now, measurements&);

private:
    struct service_load {
        double running = 0;
        double weight = 0; ///< A cold server counts with the share of its slots that it can use.

        double mean() const { return weight > 0 ? running / weight : 0; }
    };

    bool isServing(std::size_t index) const;
    std::size_t groupOf(std::size_t index) const;
    double minMeanInWindow(std::size_t group) const;
    double conservativeMean(std::size_t group) const;
    double limitOf(std::size_t index) const;
    placement_server& updateHints(placement_server&, std::size_t index) const;

    fleet_layout m_layout;
    fleet_options m_options;
    std::vector<engine_model> m_engines;
    std::vector<service_load> m_loads; ///< One per group: a region, or the whole service.
    std::deque<std::vector<service_load>> m_loadHistory; ///< Oldest first; the first entry is used for the trend only.
    std::deque<std::vector<placement_server>> m_views; ///< Oldest first.
    std::vector<move_planner> m_planners;
};

} // namespace radishflow
