// Declares soak_callers, the callers of a soak.
#pragma once

#include "relay_fleet.h"
#include "soak_call.h"

#include <atomic>
#include <chrono>
#include <cstdint>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace radishflow {

struct soak_callers_options {
    std::uint64_t seed = 1;
    int callers = 6;
    std::chrono::steady_clock::time_point began;
};

/// Calls until it is destroyed or stopped: looks addresses up, keeps the answer a while, and uses a connection as long as
/// its daemon does. Thread-safe.
class soak_callers {
public:
    soak_callers(relay_fleet&, const soak_callers_options&);
    ~soak_callers();
    soak_callers(const soak_callers&) = delete;
    soak_callers& operator=(const soak_callers&) = delete;

    /// Number of the key that is in force; callers use it and, now and then, the one before.
    void setKey(int number) { m_keyNumber = number; }
    static std::string keyOf(int number);
    void stop();
    std::vector<soak_call> calls() const;

private:
    class caller;

    relay_fleet& m_fleet;
    soak_callers_options m_options;
    std::atomic<int> m_keyNumber = 1;
    std::atomic<bool> m_isStopping = false;
    mutable std::mutex m_mutex;
    std::vector<soak_call> m_calls;
    std::vector<std::thread> m_threads;
};

} // namespace radishflow
