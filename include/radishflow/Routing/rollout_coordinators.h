// Declares the selection of the daemons that coordinate the roll-out of a service.
#pragma once

#include "radishflow/Routing/fleet_view.h"

#include <cstddef>
#include <vector>

namespace radishflow {

/// Number of daemons that receive the evidence; the first one that runs decides.
inline constexpr std::size_t rolloutCoordinatorCount = 3;

/// Returns the coordinators of a service, the first one first. Daemons with the same view select the same ones, in different
/// availability zones if there are enough.
std::vector<const fleet_daemon*> rolloutCoordinators(const fleet_view&, const service_id&);

} // namespace radishflow
