// Declares the export of a prefix from one engine's cache to another's.
#pragma once

#include "radishflow/Support/ids.h"

#include <cstdint>

namespace radishflow {

struct prefix_move {
    std::uint64_t prefix = 0;
    server_id from;
    server_id to;
};

} // namespace radishflow
