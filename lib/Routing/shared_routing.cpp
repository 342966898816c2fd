// Implements access to the routing state that all workers of a daemon share.
#include "radishflow/Routing/shared_routing.h"

#include <mutex>
#include <utility>

namespace radishflow {

bool shared_routing::updateRoutes(std::shared_ptr<const route_table> routes)
{
    const std::lock_guard lock { m_mutex };
    if (m_routes && routes->version() <= m_routes->version())
        return false;
    m_routes = std::move(routes);
    return true;
}

void shared_routing::setServers(std::shared_ptr<const server_list> servers)
{
    const std::lock_guard lock { m_mutex };
    m_servers = std::move(servers);
}

void shared_routing::setFleet(std::shared_ptr<const fleet_view> fleet)
{
    const std::lock_guard lock { m_mutex };
    m_fleet = std::move(fleet);
}

std::shared_ptr<const route_table> shared_routing::routes() const
{
    const std::lock_guard lock { m_mutex };
    return m_routes;
}

std::shared_ptr<const server_list> shared_routing::servers() const
{
    const std::lock_guard lock { m_mutex };
    return m_servers;
}

std::shared_ptr<const fleet_view> shared_routing::fleet() const
{
    const std::lock_guard lock { m_mutex };
    return m_fleet;
}

} // namespace radishflow
