// Declares periodic_task, a thread that does one thing again and again.
#pragma once

#include <chrono>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

namespace radishflow {

/// Runs a function from construction until destruction, with a pause after each run. Thread-safe.
class periodic_task {
public:
    periodic_task(std::chrono::milliseconds pause, std::function<void()> run);
    ~periodic_task();
    periodic_task(const periodic_task&) = delete;
    periodic_task& operator=(const periodic_task&) = delete;

private:
    void loop();

    std::chrono::milliseconds m_pause;
    std::function<void()> m_run;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_isStopping = false;
    std::thread m_thread;
};

} // namespace radishflow
