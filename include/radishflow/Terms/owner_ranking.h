// Declares the ranking that decides which daemon should own a server.
#pragma once

#include "radishflow/Terms/fleet_view.h"

#include <span>

namespace radishflow {

/// Returns the candidate that ranks first for a server, or null when there is none. Candidates in the
/// server's zone come first, then those in its region; rendezvous hashing decides among them.
const fleet_daemon* firstRanked(const fleet_server&, std::span<const fleet_daemon> candidates);

} // namespace radishflow
