// Implements request fingerprints as two 64-bit hashes with different seeds, since a single one may collide in a large
// fleet.
#include "radishflow/Admission/request_fingerprint.h"

#include "radishflow/Support/hashing.h"

#include <array>
#include <cinttypes>
#include <cstdio>
#include <string>

namespace radishflow {

std::string toHex(const request_fingerprint& fingerprint)
{
    constexpr int hexDigits = 16; // Of each half.
    std::array<char, 2 * hexDigits + 1> text {};
    std::snprintf(text.data(), text.size(), "%016" PRIx64 "%016" PRIx64, fingerprint.high, fingerprint.low);
    return text.data();
}

request_fingerprint fingerprintOf(const workspace_id& workspace, const service_id& service, std::string_view body)
{
    constexpr std::uint64_t highSeed = 1;
    constexpr std::uint64_t lowSeed = 2;
    // Length prefixes separate the parts, so that different parts with the same concatenation get different fingerprints.
    std::string text = std::to_string(workspace.value().size()) + ':' + workspace.value();
    text += std::to_string(service.value().size()) + ':' + service.value();
    text += body;
    return { .high = stableHash(text, highSeed), .low = stableHash(text, lowSeed) };
}

} // namespace radishflow
