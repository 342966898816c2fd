// Implements the waits in short steps; the stand-ins need no finer ones.
#include "pausing.h"

#include <algorithm>
#include <thread>

namespace radishflow {

void sleepUnless(std::chrono::milliseconds time, const std::function<bool()>& isOver)
{
    constexpr std::chrono::milliseconds step { 20 };
    const auto end = std::chrono::steady_clock::now() + time;
    while (!isOver()) {
        const auto left = std::chrono::ceil<std::chrono::milliseconds>(end - std::chrono::steady_clock::now());
        if (left.count() <= 0)
            return;
        std::this_thread::sleep_for(std::min(step, left));
    }
}

} // namespace radishflow
