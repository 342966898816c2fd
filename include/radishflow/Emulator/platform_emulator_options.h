// Declares platform_emulator_options, the settings of the platform's stand-in.
#pragma once

#include <chrono>

namespace radishflow {

struct platform_emulator_options {
    double writesPerSecond = 400; ///< Table and objects together; 429 beyond it.
    double readsPerSecond = 2000; ///< Table, objects and host list together; 429 beyond it.
    double weightsPerSecond = 1; ///< 429 with Retry-After beyond it.
    std::chrono::milliseconds hostLag { 0 }; ///< How late the host list is.
};

} // namespace radishflow
