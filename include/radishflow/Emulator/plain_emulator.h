// Declares plain_emulator, the stand-in of a plain service for tests.
#pragma once

#include "radishflow/Emulator/listen_options.h"
#include "radishflow/Emulator/plain_emulator_options.h"

#include <cstdint>
#include <memory>

namespace radishflow {

/// Executes every request and counts executions per key until it is destroyed. Thread-safe.
///
/// Answers `{"key", "path", "execution", "echo"}` with the request's body as echo. Faults: "slow_ms",
/// "crash_on" (a text in the body of a request), "lose_replies", "refuse".
class plain_emulator {
public:
    /// Throws Poco::Exception when an address can't be had.
    plain_emulator(const listen_options&, const plain_emulator_options&);
    ~plain_emulator();

    std::uint16_t port() const;
    std::uint16_t controlPort() const;

private:
    struct parts;
    std::unique_ptr<parts> m_parts;
};

} // namespace radishflow
