// Declares service_load, the load of one service summed over some daemons.
#pragma once

#include "radishflow/Support/ids.h"

#include <cstdint>
#include <vector>

namespace radishflow {

struct service_load {
    std::uint32_t service = 0; ///< loadKeyOf(service).
    std::uint32_t running = 0; ///< Requests in progress at the counted servers.
    std::uint32_t servers = 0; ///< Servers that were counted.

    friend bool operator==(const service_load&, const service_load&) = default;
};

/// Most services that one daemon reports; further ones are left out.
inline constexpr std::size_t maxServiceLoads = 64;

/// Returns the short key that stands for a service in gossip.
std::uint32_t loadKeyOf(const service_id&);

/// Adds `added` to `sum`, which stays ordered by service; sums stop at the largest number.
void addLoads(std::vector<service_load>& sum, const std::vector<service_load>& added);

} // namespace radishflow
