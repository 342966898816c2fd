// Implements the functions on service loads.
#include "radishflow/Membership/service_load.h"

#include "radishflow/Support/hashing.h"

#include <algorithm>
#include <limits>

namespace radishflow {

std::uint32_t loadKeyOf(const service_id& service)
{
    return static_cast<std::uint32_t>(stableHash(service.value()));
}

static std::uint32_t addSaturating(std::uint32_t left, std::uint32_t right)
{
    const std::uint64_t sum = std::uint64_t { left } + right;
    return static_cast<std::uint32_t>(std::min<std::uint64_t>(sum, std::numeric_limits<std::int32_t>::max()));
}

void addLoads(std::vector<service_load>& sum, const std::vector<service_load>& added)
{
    for (const service_load& load : added) {
        const auto place = std::lower_bound(sum.begin(), sum.end(), load.service,
            [](const service_load& held, std::uint32_t service) { return held.service < service; });
        if (place == sum.end() || place->service != load.service) {
            sum.insert(place, load);
            continue;
        }
        place->running = addSaturating(place->running, load.running);
        place->servers = addSaturating(place->servers, load.servers);
    }
}

} // namespace radishflow
