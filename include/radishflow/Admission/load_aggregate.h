// Declares load_aggregate, the total load of one owner's servers of a service, as it is published to other owners.
#pragma once

#include "radishflow/Support/ids.h"

#include <cstdint>

namespace radishflow {

struct load_aggregate {
    daemon_id owner;
    incarnation_number incarnation;
    std::uint64_t sequence = 0; ///< Increases with each message of an incarnation.
    int running = 0; ///< Running requests, summed over the owner's servers of the service.
    int servers = 0; ///< Number of the owner's servers of the service.
};

} // namespace radishflow
