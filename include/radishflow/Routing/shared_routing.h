// Declares shared_routing, the routing state that all workers of a daemon share.
#pragma once

#include "radishflow/Routing/fleet_view.h"
#include "radishflow/Routing/route_table.h"
#include "radishflow/Routing/server_list.h"
#include "radishflow/Support/ranked_mutex.h"

#include <memory>

namespace radishflow {

/// Holds the newest snapshots of the configuration, the servers and the fleet. Thread-safe under one lock of rank Routing.
class shared_routing {
public:
    /// Replaces the configuration if the given one has a higher version; returns whether it was replaced.
    bool updateRoutes(std::shared_ptr<const route_table>);
    void setServers(std::shared_ptr<const server_list>);
    void setFleet(std::shared_ptr<const fleet_view>);

    /// Returns null until a configuration has been set.
    std::shared_ptr<const route_table> routes() const;
    /// Returns null until a list has been set.
    std::shared_ptr<const server_list> servers() const;
    std::shared_ptr<const fleet_view> fleet() const;

private:
    mutable ranked_mutex m_mutex { lock_rank::Routing };
    std::shared_ptr<const route_table> m_routes;
    std::shared_ptr<const server_list> m_servers;
    std::shared_ptr<const fleet_view> m_fleet = std::make_shared<const fleet_view>();
};

} // namespace radishflow
