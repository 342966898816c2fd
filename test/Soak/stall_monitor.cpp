// Implements stall_monitor: a thread that wakes up much later than it asked for indicates a stall of its core.
#include "stall_monitor.h"

#include <sched.h>

namespace radishflow {

using std::chrono::milliseconds;
using steady = std::chrono::steady_clock;

static constexpr milliseconds interval { 20 };
static constexpr milliseconds minStall { 250 }; ///< Far above the delay of a thread on a busy machine with a fair scheduler.

stall_monitor::stall_monitor(steady::time_point began)
    : m_began(began)
{
    cpu_set_t cores;
    CPU_ZERO(&cores);
    if (::sched_getaffinity(0, sizeof cores, &cores) != 0)
        return;
    for (int core = 0; core < CPU_SETSIZE; ++core) {
        if (CPU_ISSET(core, &cores))
            m_threads.emplace_back([this, core] { watch(core); });
    }
}

stall_monitor::~stall_monitor()
{
    m_isStopping = true;
    for (std::thread& thread : m_threads)
        thread.join();
}

void stall_monitor::watch(int core)
{
    cpu_set_t affinity;
    CPU_ZERO(&affinity);
    CPU_SET(core, &affinity);
    if (::sched_setaffinity(0, sizeof affinity, &affinity) != 0)
        return; // The process may no longer use this core, so a stall of it has no effect.
    auto before = steady::now();
    while (!m_isStopping) {
        std::this_thread::sleep_for(interval);
        const auto now = steady::now();
        if (now - before >= interval + minStall) {
            const std::lock_guard lock { m_mutex };
            m_stalls.push_back({ .begin = std::chrono::duration_cast<milliseconds>(before - m_began), .end = std::chrono::duration_cast<milliseconds>(now - m_began) });
        }
        before = now;
    }
}

std::vector<machine_stall> stall_monitor::stalls() const
{
    const std::lock_guard lock { m_mutex };
    return m_stalls;
}

} // namespace radishflow
