// Declares stall_monitor, which detects when the machine itself doesn't run the test's threads.
#pragma once

#include <atomic>
#include <chrono>
#include <mutex>
#include <thread>
#include <vector>

namespace radishflow {

/// A period in which a core ran no thread of this process.
struct machine_stall {
    std::chrono::milliseconds begin { 0 };
    std::chrono::milliseconds end { 0 };
};

/// Runs one thread bound to each core that checks the clock every 20 ms. Thread-safe.
class stall_monitor {
public:
    /// Times of stalls are relative to `began`.
    explicit stall_monitor(std::chrono::steady_clock::time_point began);
    ~stall_monitor();
    stall_monitor(const stall_monitor&) = delete;
    stall_monitor& operator=(const stall_monitor&) = delete;

    std::vector<machine_stall> stalls() const;

private:
    void watch(int core);

    std::chrono::steady_clock::time_point m_began;
    std::atomic<bool> m_isStopping = false;
    mutable std::mutex m_mutex;
    std::vector<machine_stall> m_stalls;
    std::vector<std::thread> m_threads;
};

} // namespace radishflow
