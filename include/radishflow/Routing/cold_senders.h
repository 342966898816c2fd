// Declares the selection of the daemons that may send requests to a cold (recently started) backend server.
#pragma once

#include "radishflow/Routing/fleet_view.h"
#include "radishflow/Support/ids.h"

#include <cstddef>

namespace radishflow {

/// Returns the number of daemons that share the request rate of one cold server.
std::size_t coldSenderCount(const fleet_view&);

/// Returns whether this daemon may send to the cold server. Daemons with the same fleet view select the same senders; a daemon that does
/// not know the size of the fleet selects none.
bool isColdSender(const fleet_view&, const server_id&);

/// Returns whether this daemon is among the given number of daemons that may send to the server, likewise.
bool isAmongSenders(const fleet_view&, const server_id&, std::size_t senders);

} // namespace radishflow
