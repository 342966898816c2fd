// Declares request_fingerprint, by which the same request is known again in any daemon.
#pragma once

#include "radishflow/Support/ids.h"

#include <compare>
#include <cstdint>
#include <string_view>

namespace radishflow {

struct request_fingerprint {
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    friend auto operator<=>(const request_fingerprint&, const request_fingerprint&) = default;
    friend bool operator==(const request_fingerprint&, const request_fingerprint&) = default;
};

request_fingerprint fingerprintOf(const workspace_id&, const service_id&, std::string_view body);

} // namespace radishflow

template <>
struct std::hash<radishflow::request_fingerprint> {
    std::size_t operator()(const radishflow::request_fingerprint& fingerprint) const noexcept { return fingerprint.low; }
};
