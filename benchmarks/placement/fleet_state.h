// Declares the modelled servers of a run with their owners' limits and the delayed views of them.
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

/// Engines, what their owners admit, and what deciders know. The simulation moves the requests.
class fleet_state {
public:
    static constexpr sim_time tickLength { 0.5 };
    static constexpr sim_time exportTickLength { 0.05 };

    fleet_state(const fleet_layout&, const fleet_options&);

    engine_model& engine(std::size_t index) { return m_engines[index]; }
    std::size_t size() const { return m_engines.size(); }

    /// Takes a request in and books it in the mean; the engine must be up.
    void addLoad(std::size_t index);
    void dropLoad(std::size_t index);

    /// Whether the owner admits one more.
    bool admits(std::size_t index) const;

    /// Load as a share of what its owner admits now.
    double loadShare(std::size_t index) const;

    /// Whether the server stands above loadMultiple x the true mean + 1 slot now.
    bool isAboveBound(std::size_t index) const;

    /// Counts service and mean anew, after any change of which servers serve.
    void recount();

    /// Publishes views and the mean, once a tick.
    void tick();
    void sampleSkew(sim_time now, measurements&) const;

    /// What a decider with this delay sees.
    std::span<const placement_server> view(sim_time delay) const;

    /// Plans exports from every engine after a change of which servers serve.
    void planExports(sim_time now);
    void exportSome(sim_time now, measurements&);

private:
    struct service_load {
        double running = 0;
        double weight = 0; ///< A cold server counts with the share of its slots that it bears.

        double mean() const { return weight > 0 ? running / weight : 0; }
    };

    bool isServing(std::size_t index) const;
    std::size_t groupOf(std::size_t index) const;
    double knownMean(std::size_t group) const;
    double lowMean(std::size_t group) const;
    double limitOf(std::size_t index) const;
    placement_server& updateHints(placement_server&, std::size_t index) const;

    fleet_layout m_layout;
    fleet_options m_options;
    std::vector<engine_model> m_engines;
    std::vector<service_load> m_loads; ///< One a group.
    std::deque<std::vector<service_load>> m_loadHistory; ///< The latest last; the first serves for the trend only.
    std::deque<std::vector<placement_server>> m_views; ///< The latest last.
    std::vector<move_planner> m_planners;
};

} // namespace radishflow
