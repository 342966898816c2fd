// Declares the selection of the daemons that may send requests to a cold (recently started) backend server.
#pragma once

#include "radishflow/Routing/fleet_view.h"
#include "radishflow/Support/ids.h"

#include <cstddef>

namespace radishflow {

/// Returns the number of daemons that share the request rate of one cold server.
std::size_t coldSenderCount(const fleet_view&);

/// Returns whether this daemon may send to the cold server. Daemons with the same fleet view select the same senders.
bool isColdSender(const fleet_view&, const server_id&);

} // namespace radishflow
