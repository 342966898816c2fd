// Declares load_sample, what a backend server says of its load.
#pragma once

namespace radishflow {

struct load_sample {
    int running = 0;
    int waiting = 0;
    int slots = 0;
};

} // namespace radishflow
