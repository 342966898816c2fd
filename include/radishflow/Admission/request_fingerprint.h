// Declares request_fingerprint, which identifies identical requests across daemons.
#pragma once

#include "radishflow/Support/ids.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace radishflow {

/// A hash of 128 bits.
struct request_fingerprint {
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    friend auto operator<=>(const request_fingerprint&, const request_fingerprint&) = default;
    friend bool operator==(const request_fingerprint&, const request_fingerprint&) = default;
};

/// Returns 32 hexadecimal digits, for logs and keys.
std::string toHex(const request_fingerprint&);

/// Returns the same fingerprint for the same workspace, service and body in every daemon.
request_fingerprint fingerprintOf(const workspace_id&, const service_id&, std::string_view body);

} // namespace radishflow

template <>
struct std::hash<radishflow::request_fingerprint> {
    std::size_t operator()(const radishflow::request_fingerprint& fingerprint) const noexcept { return fingerprint.low; }
};
