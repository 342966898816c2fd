// Declares platform_emulator, the platform's stand-in for tests.
#pragma once

#include "radishflow/Emulator/listen_options.h"
#include "radishflow/Emulator/platform_emulator_options.h"

#include <cstdint>
#include <memory>

namespace radishflow {

/// Serves table, objects, weights and host list until it is destroyed. Thread-safe.
///
/// Faults: "down" (false, true or "hang": never answers; "refuse": refuses connections), "slow_ms",
/// "lose_replies" and "lose_requests" (so many writes), "host_lag_ms", "stale_reads" (false, true, or
/// "alternate": every second read).
class platform_emulator {
public:
    /// Throws Poco::Exception when an address can't be had.
    platform_emulator(const listen_options&, const platform_emulator_options&);
    ~platform_emulator();

    std::uint16_t port() const;
    std::uint16_t controlPort() const;

private:
    struct parts;
    std::unique_ptr<parts> m_parts;
};

} // namespace radishflow
