// Declares load_sample, the load that a backend server reports: its requests and request slots.
#pragma once

namespace radishflow {

struct load_sample {
    int running = 0;
    int waiting = 0;
    int slots = 0;
};

} // namespace radishflow
