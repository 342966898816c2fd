// Declares soak_callers, threads that call the daemons during a soak.
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

/// Sends requests until it is stopped or destroyed. Each caller looks addresses up, caches them for addr_reuse_s and reuses its
/// connection until the daemon closes it. Thread-safe.
class soak_callers {
public:
    soak_callers(relay_fleet&, const soak_callers_options&);
    ~soak_callers();
    soak_callers(const soak_callers&) = delete;
    soak_callers& operator=(const soak_callers&) = delete;

    /// Sets the number of the key in force; callers use it and, in one of four calls, the previous one.
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
