// Declares load_sample, the load that a backend server reports: its requests, its request slots and the speed of its host.
#pragma once

#include <optional>

namespace radishflow {

struct load_sample {
    int running = 0;
    int waiting = 0;
    int slots = 0;
    std::optional<double> slowdown; ///< How long work takes now, as a multiple of the usual time; not set if the server does not state it.
};

} // namespace radishflow
