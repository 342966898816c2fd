// Implements a thread that does one thing again and again.
#include "radishflow/Threads/periodic_task.h"

#include <utility>

namespace radishflow {

periodic_task::periodic_task(std::chrono::milliseconds pause, std::function<void()> run)
    : m_pause(pause)
    , m_run(std::move(run))
    , m_thread([this] { loop(); })
{
}

periodic_task::~periodic_task()
{
    {
        const std::lock_guard lock { m_mutex };
        m_isStopping = true;
    }
    m_changed.notify_all();
    m_thread.join();
}

void periodic_task::loop()
{
    std::unique_lock lock { m_mutex };
    while (!m_isStopping) {
        lock.unlock();
        m_run();
        lock.lock();
        m_changed.wait_for(lock, m_pause, [&] { return m_isStopping; });
    }
}

} // namespace radishflow
