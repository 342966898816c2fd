// Declares the selection of the daemons that follow the platform's store for the whole fleet.
#pragma once

#include "radishflow/Routing/fleet_view.h"
#include "radishflow/Support/ids.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace radishflow {

/// Returns the daemons that follow the store's tables by long polls; the others fetch the changes from them.
///
/// Answers the load that a fleet puts on the store: with long polls of every daemon, each change of a table costs one call
/// per daemon. At least `minStoreFollowers` daemons follow, at least two in each availability zone, so a fleet of up to that
/// size follows as a whole. Daemons with the same fleet view select the same followers.
std::vector<const fleet_daemon*> storeFollowers(const fleet_view&);

inline constexpr std::size_t minStoreFollowers = 8;

/// Returns whether the daemon of this view is one of the followers.
bool isStoreFollower(const fleet_view&);

/// Returns the caller address of the follower from which to fetch changes: one of the own zone if it has any, otherwise any
/// other. `attempt` is a number that differs between attempts, so that consecutive attempts use different followers. Returns
/// an empty text if there is no other follower.
std::string selectStoreFollower(const fleet_view&, const zone_id& ownZone, std::uint64_t attempt);

} // namespace radishflow
