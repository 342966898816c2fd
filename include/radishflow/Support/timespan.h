// Declares toTimespan, from the standard library's times to POCO's.
#pragma once

#include <Poco/Timespan.h>

#include <chrono>

namespace radishflow {

inline Poco::Timespan toTimespan(std::chrono::microseconds time)
{
    return Poco::Timespan { time.count() };
}

} // namespace radishflow
