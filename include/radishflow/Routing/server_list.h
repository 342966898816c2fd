// Declares server_list, a snapshot of the backend servers and of the availability zones that are out of service.
#pragma once

#include "radishflow/Routing/listed_server.h"

#include <map>
#include <set>
#include <vector>

namespace radishflow {

/// Immutable after publication.
struct server_list {
    std::map<server_id, listed_server> servers;
    std::set<zone_id> zonesOutOfService; ///< Servers in these availability zones get no new requests.

    bool takesNewWork(const listed_server& server) const { return !server.isDraining && !zonesOutOfService.contains(server.zone); }

    /// Returns all servers of a service, including those that take no new work.
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
