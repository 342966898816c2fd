// Implements the hash functions that daemons must agree on.
#include "radishflow/Support/hashing.h"

#include <xxhash.h>

namespace radishflow {

std::uint64_t stableHash(std::string_view bytes, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

std::uint64_t stableHash(std::string_view first, std::string_view second)
{
    return stableHash(second, stableHash(first));
}

double unitInterval(std::uint64_t hash)
{
    // 52 bits and a half fill a double exactly, so neither end is reached by rounding; zero has no logarithm.
    constexpr double scale = 1.0 / 4503599627370496.0;
    return (static_cast<double>(hash >> 12U) + 0.5) * scale;
}

} // namespace radishflow
