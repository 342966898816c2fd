// Declares the wait for a condition.
#pragma once

#include <chrono>
#include <thread>

namespace radishflow {

/// Checks a condition every few milliseconds; returns false when it doesn't hold within the bound.
template <typename Condition>
bool waitUntil(std::chrono::milliseconds bound, Condition condition)
{
    const auto end = std::chrono::steady_clock::now() + bound;
    while (!condition()) {
        if (std::chrono::steady_clock::now() >= end)
            return false;
        std::this_thread::sleep_for(std::chrono::milliseconds { 10 });
    }
    return true;
}

} // namespace radishflow
