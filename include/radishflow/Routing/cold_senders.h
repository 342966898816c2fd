// Declares the choice of the daemons that may send to a cold backend server.
#pragma once

#include "radishflow/Routing/fleet_view.h"
#include "radishflow/Support/ids.h"

#include <cstddef>

namespace radishflow {

/// Returns how many daemons share the allowance of one cold server.
std::size_t coldSenderCount(const fleet_view&);

/// Whether this daemon is among them; daemons that see the same fleet agree.
bool isColdSender(const fleet_view&, const server_id&);

} // namespace radishflow
