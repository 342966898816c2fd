// Implements busy_core with processor affinities.
#include "busy_core.h"

#include <filesystem>
#include <sched.h>
#include <stdexcept>
#include <string>

namespace radishflow {

static void bindToCore(pid_t task, int core)
{
    cpu_set_t cores;
    CPU_ZERO(&cores);
    CPU_SET(core, &cores);
    if (::sched_setaffinity(task, sizeof cores, &cores) != 0)
        throw std::runtime_error("task " + std::to_string(task) + " can't be bound to core " + std::to_string(core));
}

// Binds the existing threads; threads that the process starts later inherit the affinity.
busy_core::busy_core(pid_t process, int core, int busyThreads)
{
    for (const auto& task : std::filesystem::directory_iterator { "/proc/" + std::to_string(process) + "/task" })
        bindToCore(std::stoi(task.path().filename()), core);
    m_threads.reserve(static_cast<std::size_t>(busyThreads));
    for (int number = 0; number < busyThreads; ++number) {
        m_threads.emplace_back([this, core] {
            bindToCore(0, core);
            while (!m_isStopping) { }
        });
    }
}

busy_core::~busy_core()
{
    m_isStopping = true;
    for (std::thread& busyThread : m_threads)
        busyThread.join();
}

} // namespace radishflow
