// Declares route_table, one configuration in the form in which requests ask it.
#pragma once

#include "radishflow/Routing/routing_config.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace radishflow {

/// Immutable, so any thread may read it.
class route_table {
public:
    explicit route_table(routing_config);
    route_table(const route_table&) = delete;
    route_table& operator=(const route_table&) = delete;

    /// Returns the route with the longest prefix that begins the path, or null.
    const route* find(std::string_view host, std::string_view path) const;
    /// Returns the workspace that holds a key, or null.
    const keyed_workspace* workspaceOf(std::string_view key) const;
    /// Returns null for a service that the configuration does not describe.
    const service_policy* policyOf(const service_id&) const;
    bool needsKeys() const { return !m_config.workspaces.empty(); }
    config_version version() const { return m_config.version; }
    const caller_limits& limits() const { return m_config.limits; }

private:
    routing_config m_config;
    std::unordered_map<std::string, std::vector<const route*>> m_routesByHost; ///< Longest prefix first.
    std::unordered_map<std::string_view, const keyed_workspace*> m_workspacesByKey;
    std::unordered_map<service_id, const service_policy*> m_policies;
};

/// Returns the service of a request; equal hashes choose equally on every daemon.
const service_id& targetOf(const route&, std::uint64_t requestHash);

} // namespace radishflow
