// Declares fleet_register, a small versioned value that is replicated to all daemons of the fleet.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>

namespace radishflow {

/// Of two values the greater wins, compared by version, then by bytes, then by stamp.
struct fleet_register {
    static constexpr std::size_t maxBytes = 200;
    static constexpr std::size_t maxKeyBytes = 64;
    static constexpr std::size_t maxRegisters = 256;
    static constexpr std::uint64_t maxVersion = std::uint64_t { 1 } << 62;

    std::uint64_t version = 0; ///< 0 means that it was never set.
    std::string bytes;
    std::int64_t stamp = 0; ///< Time it was set, in milliseconds of the setter's wall clock; informational.

    friend auto operator<=>(const fleet_register&, const fleet_register&) = default;
    friend bool operator==(const fleet_register&, const fleet_register&) = default;
};

} // namespace radishflow
