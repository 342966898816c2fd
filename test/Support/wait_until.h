// Declares waitUntil, which polls a condition.
#pragma once

#include <chrono>
#include <thread>

namespace radishflow {

/// Polls a condition every 10 ms; returns false when it isn't true before the timeout.
template <typename Condition>
bool waitUntil(std::chrono::milliseconds timeout, Condition condition)
{
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    while (!condition()) {
        if (std::chrono::steady_clock::now() >= deadline)
            return false;
        std::this_thread::sleep_for(std::chrono::milliseconds { 10 });
    }
    return true;
}

} // namespace radishflow
