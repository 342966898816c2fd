// Declares the concept of a clock that decision logic takes as a parameter, and its time types.
#pragma once

#include <chrono>
#include <concepts>

namespace radishflow {

/// Tag of the time line that counts from boot, also while the host sleeps.
struct boot_time_line {
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<boot_time_line, duration>;
};

using time_point = boot_time_line::time_point;
using duration = boot_time_line::duration;

/// A clock that never runs backwards.
template <typename T>
concept monotonic_clock = requires(const T& clock)
{
    {
        clock.now()
        } -> std::same_as<time_point>;
};

} // namespace radishflow
