// Implements the notice of a machine that stands still.
#include "stall_watch.h"

#include <sched.h>

namespace radishflow {

using std::chrono::milliseconds;
using steady = std::chrono::steady_clock;

static constexpr milliseconds interval { 20 };
static constexpr milliseconds leastStall { 250 }; ///< Far above what a busy but fair scheduler lets a thread wait.

stall_watch::stall_watch(steady::time_point began)
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

stall_watch::~stall_watch()
{
    m_isStopping = true;
    for (std::thread& each : m_threads)
        each.join();
}

void stall_watch::watch(int core)
{
    cpu_set_t own;
    CPU_ZERO(&own);
    CPU_SET(core, &own);
    if (::sched_setaffinity(0, sizeof own, &own) != 0)
        return; // The core has been taken away from this process, so nothing of it runs there.
    auto before = steady::now();
    while (!m_isStopping) {
        std::this_thread::sleep_for(interval);
        const auto now = steady::now();
        if (now - before >= interval + leastStall) {
            const std::lock_guard lock { m_mutex };
            m_stalls.push_back({ .begin = std::chrono::duration_cast<milliseconds>(before - m_began), .end = std::chrono::duration_cast<milliseconds>(now - m_began) });
        }
        before = now;
    }
}

std::vector<machine_stall> stall_watch::stalls() const
{
    const std::lock_guard lock { m_mutex };
    return m_stalls;
}

} // namespace radishflow
