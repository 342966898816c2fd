// Declares engine_emulator, the model engine's stand-in for tests.
#pragma once

#include "radishflow/Emulator/engine_emulator_options.h"
#include "radishflow/Emulator/listen_options.h"

#include <cstdint>
#include <memory>

namespace radishflow {

/// Generates expectedAnswer() for each request until it is destroyed. Thread-safe.
///
/// Warm, it runs as many requests as it has slots and queues the others by priority. Cold, it takes every
/// request at once and falls over when they are more than its cold limit: all connections are cut and it
/// starts anew with an empty cache. A Last-Event-ID for a generation that it does not hold is answered 404.
///
/// Faults: "cold" (turns cold now), "crash_on" (a text in the body of a request), "cut_after_tokens" (the
/// next stream), "pause" (no token and no answer), "drop_kv_events" (so many are skipped), "report_lag_ms".
class engine_emulator {
public:
    /// Throws Poco::Exception when an address can't be had.
    engine_emulator(const listen_options&, const engine_emulator_options&);
    ~engine_emulator();

    std::uint16_t port() const;
    std::uint16_t controlPort() const;

private:
    struct parts;
    std::unique_ptr<parts> m_parts;
};

} // namespace radishflow
