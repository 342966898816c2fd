// Declares the ranking that determines which daemon should own a server.
#pragma once

#include "radishflow/Terms/fleet_view.h"

#include <span>

namespace radishflow {

/// Returns the highest-ranked candidate for a server, or null when there is none. Candidates in the server's zone rank
/// before those in its region, and these before all others; rendezvous hashing decides among equals.
const fleet_daemon* highestRankedDaemon(const fleet_server&, std::span<const fleet_daemon> candidates);

} // namespace radishflow
