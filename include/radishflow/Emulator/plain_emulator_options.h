// Declares plain_emulator_options, the settings of the plain service's stand-in.
#pragma once

#include <chrono>

namespace radishflow {

struct plain_emulator_options {
    int limit = 0; ///< Requests at once that it bears; 0 means any number.
    std::chrono::milliseconds slow { 0 }; ///< Time that each request takes.
};

} // namespace radishflow
