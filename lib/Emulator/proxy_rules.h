// Declares proxy_rules, what the fault proxy does to what it relays, and the seeded choice of what it cuts.
#pragma once

#include "radishflow/Support/hashing.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace radishflow {

enum class relay_way { Up,
    Down }; ///< Towards the target, or from it.

struct proxy_rules {
    std::chrono::milliseconds delay { 0 };
    bool isCut = false;
    bool isHalfOpen = false;
    bool dropsUp = false;
    bool dropsDown = false;
    std::int64_t bytesPerSecond = 0; ///< 0 for no limit.
    std::uint64_t seed = 0;
    double cutProbability = 0;

    bool drops(relay_way way) const { return way == relay_way::Up ? dropsUp : dropsDown; }

    /// Returns whether the connection or datagram with that number is to be cut.
    bool choosesToCut(std::uint64_t number) const
    {
        return cutProbability > 0 && unitInterval(stableHash(std::to_string(number), seed)) < cutProbability;
    }

    /// Returns after how many bytes a chosen connection is cut.
    std::int64_t cutAfterBytes(std::uint64_t number) const
    {
        constexpr std::uint64_t mostBytes = 512;
        return 1 + static_cast<std::int64_t>(stableHash("bytes", std::to_string(number + seed)) % mostBytes);
    }
};

} // namespace radishflow
