// Declares busy_core, which makes a process share a core with busy threads.
#pragma once

#include <atomic>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace radishflow {

/// Binds a process to one core, where it competes with busy threads until this object is destroyed.
class busy_core {
public:
    busy_core(pid_t process, int core, int busyThreads);
    ~busy_core();
    busy_core(const busy_core&) = delete;
    busy_core& operator=(const busy_core&) = delete;

private:
    std::atomic<bool> m_isStopping = false;
    std::vector<std::thread> m_threads;
};

} // namespace radishflow
