// Declares server_list, the backend servers and the zones that are out, at one moment.
#pragma once

#include "radishflow/Routing/listed_server.h"

#include <map>
#include <set>
#include <vector>

namespace radishflow {

/// Immutable once it is shared.
struct server_list {
    std::map<server_id, listed_server> servers;
    std::set<zone_id> zonesOut; ///< Nothing new is sent to their servers.

    /// Returns the servers of a service that take new work.
    std::vector<const listed_server*> eligible(const service_id& service) const
    {
        std::vector<const listed_server*> found;
        for (const auto& [id, server] : servers) {
            if (server.service == service && !server.isDraining && !zonesOut.contains(server.zone))
                found.push_back(&server);
        }
        return found;
    }
};

} // namespace radishflow
