// Implements the pool of threads on POCO's.
#include "radishflow/Threads/worker_pool.h"

#include <Poco/Exception.h>
#include <Poco/Runnable.h>
#include <Poco/ThreadPool.h>

#include <utility>

namespace radishflow {

namespace {

    // POCO's base class; a job owns itself, since the pool keeps only a reference.
    class self_owned_job final : public Poco::Runnable {
    public:
        explicit self_owned_job(std::function<void()> job)
            : m_job(std::move(job))
        {
        }

        void run() override
        {
            const std::unique_ptr<self_owned_job> self { this };
            m_job();
        }

    private:
        std::function<void()> m_job;
    };

} // namespace

struct worker_pool::state {
    Poco::ThreadPool threads;

    explicit state(int mostThreads)
        : threads(2, mostThreads, 10)
    {
    }
};

worker_pool::worker_pool(int mostThreads)
    : m_state(std::make_unique<state>(mostThreads))
{
}

worker_pool::~worker_pool()
{
    m_state->threads.joinAll();
}

bool worker_pool::tryStart(std::function<void()> job)
{
    auto owned = std::make_unique<self_owned_job>(std::move(job));
    try {
        m_state->threads.start(*owned);
    } catch (const Poco::NoThreadAvailableException&) {
        return false;
    }
    // The job deletes itself at its end.
    static_cast<void>(owned.release()); // NOLINT(bugprone-unused-return-value)
    return true;
}

int worker_pool::busy() const
{
    return m_state->threads.used();
}

} // namespace radishflow
