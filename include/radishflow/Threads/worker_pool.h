// Declares worker_pool, the threads that run requests on backend servers.
#pragma once

#include <functional>
#include <memory>

namespace radishflow {

/// A bounded pool of threads. Thread-safe.
class worker_pool {
public:
    explicit worker_pool(int mostThreads);
    ~worker_pool(); ///< Waits for the jobs under way.
    worker_pool(const worker_pool&) = delete;
    worker_pool& operator=(const worker_pool&) = delete;

    /// Starts a job at once. Returns false, without running it, when every thread is busy.
    bool tryStart(std::function<void()> job);

    int busy() const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace radishflow
