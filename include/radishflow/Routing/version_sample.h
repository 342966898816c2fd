// Declares the samples by which two versions of a service's software are compared.
#pragma once

#include "radishflow/Support/hashing.h"
#include "radishflow/Support/monotonic_clock.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace radishflow {

/// Paces are recorded in buckets, each of which is the square root of 2 times as wide as the one before; the first one begins at 0.25 ms.
inline constexpr std::size_t paceBuckets = 32;

/// Returns the bucket of a pace: the time for a whole response, or for one event of a stream.
std::size_t paceBucketOf(duration pace);

/// One response of a server.
struct version_sample {
    std::uint32_t route = 0; ///< routeHashOf() of the route.
    std::uint32_t server = 0; ///< serverHashOf() of the server.
    bool isFailure = false; ///< The server responded with an error of its own.
    std::optional<std::size_t> pace; ///< Bucket; not set if the response says nothing about the speed of the software.
};

/// Responses of a route, added up.
struct route_tally {
    std::uint32_t route = 0;
    std::uint32_t responses = 0;
    std::uint32_t failures = 0;
    std::array<std::uint32_t, paceBuckets> paces {};

    void add(const version_sample&);
    void add(const route_tally&);
};

inline std::uint32_t routeHashOf(std::string_view route)
{
    return static_cast<std::uint32_t>(stableHash(route));
}

} // namespace radishflow
