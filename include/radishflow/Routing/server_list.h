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

    bool takesNewWork(const listed_server& server) const { return !server.isDraining && !zonesOut.contains(server.zone); }

    /// Returns the servers of a service, also those that take no new work.
    std::vector<const listed_server*> serversOf(const service_id& service) const
    {
        std::vector<const listed_server*> found;
        for (const auto& [id, server] : servers) {
            if (server.service == service)
                found.push_back(&server);
        }
        return found;
    }

    /// Returns the servers of a service that take new work.
    std::vector<const listed_server*> eligible(const service_id& service) const
    {
        std::vector<const listed_server*> found = serversOf(service);
        std::erase_if(found, [this](const listed_server* server) { return !takesNewWork(*server); });
        return found;
    }
};

} // namespace radishflow
