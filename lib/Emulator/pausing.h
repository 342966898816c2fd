// Declares waits that end early when a stand-in stops.
#pragma once

#include <chrono>
#include <functional>

namespace radishflow {

/// Sleeps for a time or until the function returns true, whichever is first.
void sleepUnless(std::chrono::milliseconds time, const std::function<bool()>& isOver);

} // namespace radishflow
