// Declares route_table, one version of the configuration indexed for lookups by requests.
#pragma once

#include "radishflow/Routing/routing_config.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace radishflow {

/// Immutable and therefore thread-safe.
class route_table {
public:
    explicit route_table(routing_config);
    route_table(const route_table&) = delete;
    route_table& operator=(const route_table&) = delete;

    /// Returns the host's route with the longest prefix of the path, or null if none matches.
    const route* find(std::string_view host, std::string_view path) const;
    /// Returns the workspace to which an API key belongs, or null if the key is unknown.
    const keyed_workspace* workspaceOf(std::string_view key) const;
    /// Returns null if the configuration does not describe the service.
    const service_policy* policyOf(const service_id&) const;
    bool needsKeys() const { return !m_config.workspaces.empty(); }
    config_version version() const { return m_config.version; }
    const caller_limits& limits() const { return m_config.limits; }

private:
    routing_config m_config;
    std::unordered_map<std::string, std::vector<const route*>> m_routesByHost; ///< In order of decreasing prefix length.
    std::unordered_map<std::string_view, const keyed_workspace*> m_workspacesByKey;
    std::unordered_map<service_id, const service_policy*> m_policies;
};

/// Returns the target service of a request by weight. All daemons choose the same service for the same hash.
const service_id& targetOf(const route&, std::uint64_t requestHash);

} // namespace radishflow
