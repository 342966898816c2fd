// Declares the selection of the daemons that keep the origin of a stream.
#pragma once

#include "radishflow/Routing/fleet_view.h"
#include "radishflow/Routing/stream_origin.h"

#include <cstddef>
#include <vector>

namespace radishflow {

/// Returns the other daemons that keep the origin of a stream: all of a small fleet, otherwise the highest rendezvous ranks of
/// each availability zone, so that the loss of a zone, or a partition between zones, leaves some in reach. Daemons with the
/// same fleet view select the same ones, and a larger `perZone` adds to those of a smaller one.
std::vector<const fleet_daemon*> streamHolders(const fleet_view&, stream_key, std::size_t perZone);

/// Returns the daemons that write the origins of all streams to the platform's store, in a fixed order: two of different
/// availability zones if there are several. May include this daemon.
std::vector<const fleet_daemon*> streamRecorders(const fleet_view&);

} // namespace radishflow
