// Implements the index of one version of the configuration.
#include "radishflow/Routing/route_table.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace radishflow {

route_table::route_table(routing_config config)
    : m_config(std::move(config))
{
    for (const route& route : m_config.routes)
        m_routesByHost[route.host].push_back(&route);
    for (auto& [host, routes] : m_routesByHost)
        std::stable_sort(routes.begin(), routes.end(), [](const route* left, const route* right) { return left->prefix.size() > right->prefix.size(); });
    for (const keyed_workspace& workspace : m_config.workspaces) {
        for (const std::string& key : workspace.keys)
            m_workspacesByKey.emplace(key, &workspace);
    }
    for (const service_policy& policy : m_config.services)
        m_policies.emplace(policy.id, &policy);
}

const route* route_table::find(std::string_view host, std::string_view path) const
{
    const auto routes = m_routesByHost.find(std::string { host });
    if (routes == m_routesByHost.end())
        return nullptr;
    const auto found = std::find_if(routes->second.begin(), routes->second.end(), [&](const route* route) { return path.starts_with(route->prefix); });
    return found == routes->second.end() ? nullptr : *found;
}

const keyed_workspace* route_table::workspaceOf(std::string_view key) const
{
    const auto found = m_workspacesByKey.find(key);
    return found == m_workspacesByKey.end() ? nullptr : found->second;
}

const service_policy* route_table::policyOf(const service_id& service) const
{
    const auto found = m_policies.find(service);
    return found == m_policies.end() ? nullptr : found->second;
}

const service_id& targetOf(const route& route, std::uint64_t requestHash)
{
    assert(!route.targets.empty() && "a route names at least one service");
    std::uint64_t total = 0;
    for (const weighted_service& target : route.targets)
        total += static_cast<std::uint64_t>(std::max(target.weight, 0));
    if (total == 0)
        return route.targets.front().service;
    std::uint64_t position = requestHash % total;
    for (const weighted_service& target : route.targets) {
        const auto weight = static_cast<std::uint64_t>(std::max(target.weight, 0));
        if (position < weight)
            return target.service;
        position -= weight;
    }
    return route.targets.back().service;
}

} // namespace radishflow
