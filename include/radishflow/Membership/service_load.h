// Declares service_load, the load of one service summed over a set of daemons.
#pragma once

#include "radishflow/Support/ids.h"

#include <cstdint>
#include <vector>

namespace radishflow {

struct service_load {
    std::uint32_t service = 0; ///< Result of loadKeyOf() for the service.
    std::uint32_t running = 0; ///< Requests in progress at the counted servers.
    std::uint32_t servers = 0; ///< Servers that were counted.

    friend bool operator==(const service_load&, const service_load&) = default;
};

/// Maximum number of services that one daemon reports; further services are omitted.
inline constexpr std::size_t maxServiceLoads = 64;

/// Returns the hash that identifies a service in gossip messages.
std::uint32_t loadKeyOf(const service_id&);

/// Adds `added` to `sum`, which stays sorted by service. Sums saturate at the maximum of a 32-bit signed integer.
void addLoads(std::vector<service_load>& sum, const std::vector<service_load>& added);

} // namespace radishflow
