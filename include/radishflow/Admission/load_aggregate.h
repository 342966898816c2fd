// Declares load_aggregate, the load of one owner's servers of a service as it tells the others.
#pragma once

#include "radishflow/Support/ids.h"

#include <cstdint>

namespace radishflow {

struct load_aggregate {
    daemon_id owner;
    incarnation_number incarnation;
    std::uint64_t sequence = 0; ///< Grows with each message of an incarnation.
    int running = 0; ///< Sum over the owner's servers of the service.
    int servers = 0;
};

} // namespace radishflow
