// Declares stall_watch, which notices when the machine itself stands still.
#pragma once

#include <atomic>
#include <chrono>
#include <mutex>
#include <thread>
#include <vector>

namespace radishflow {

/// A time in which a core ran nothing of this process.
struct machine_stall {
    std::chrono::milliseconds begin { 0 };
    std::chrono::milliseconds end { 0 };
};

/// Has one thread bound to each core, which looks at the clock every few milliseconds. Thread-safe.
class stall_watch {
public:
    /// Times of stalls count from `began`.
    explicit stall_watch(std::chrono::steady_clock::time_point began);
    ~stall_watch();
    stall_watch(const stall_watch&) = delete;
    stall_watch& operator=(const stall_watch&) = delete;

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
