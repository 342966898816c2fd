// Implements the recording of responses for the comparison of two versions.
#include "radishflow/Routing/version_sample.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace radishflow {

std::size_t paceBucketOf(duration pace)
{
    constexpr double firstBucketMs = 0.25;
    constexpr double bucketsPerDoubling = 2;
    const double milliseconds = std::chrono::duration<double, std::milli>(pace).count();
    if (milliseconds <= firstBucketMs)
        return 0;
    return std::min(static_cast<std::size_t>(std::log2(milliseconds / firstBucketMs) * bucketsPerDoubling), paceBuckets - 1);
}

void route_tally::add(const version_sample& sample)
{
    ++responses;
    failures += sample.isFailure ? 1 : 0;
    if (sample.pace)
        ++paces[std::min(*sample.pace, paceBuckets - 1)];
}

void route_tally::add(const route_tally& other)
{
    responses += other.responses;
    failures += other.failures;
    for (std::size_t bucket = 0; bucket < paceBuckets; ++bucket)
        paces[bucket] += other.paces[bucket];
}

} // namespace radishflow
