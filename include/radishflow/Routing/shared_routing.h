// Declares shared_routing, what all workers of a daemon route by.
#pragma once

#include "radishflow/Routing/fleet_view.h"
#include "radishflow/Routing/route_table.h"
#include "radishflow/Routing/server_list.h"
#include "radishflow/Support/ranked_mutex.h"

#include <memory>

namespace radishflow {

/// Holds the newest snapshots. Thread-safe under one lock of rank Routing.
class shared_routing {
public:
    /// Takes a configuration unless it is older than the one in force; returns whether it was taken.
    bool updateRoutes(std::shared_ptr<const route_table>);
    void setServers(std::shared_ptr<const server_list>);
    void setFleet(std::shared_ptr<const fleet_view>);

    /// Returns null until a configuration is known.
    std::shared_ptr<const route_table> routes() const;
    /// Returns null until the list is known.
    std::shared_ptr<const server_list> servers() const;
    std::shared_ptr<const fleet_view> fleet() const;

private:
    mutable ranked_mutex m_mutex { lock_rank::Routing };
    std::shared_ptr<const route_table> m_routes;
    std::shared_ptr<const server_list> m_servers;
    std::shared_ptr<const fleet_view> m_fleet = std::make_shared<const fleet_view>();
};

} // namespace radishflow
