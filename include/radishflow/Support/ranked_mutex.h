// Declares ranked_mutex, a mutex that asserts the lock order.
#pragma once

#include "radishflow/Support/lock_rank.h"

#include <mutex>

namespace radishflow {

/// A mutex with a place in the lock order; taking one out of order fails an assertion.
class ranked_mutex {
public:
    explicit ranked_mutex(lock_rank rank)
        : m_rank(rank)
    {
    }

    void lock();
    void unlock();

private:
    std::mutex m_mutex;
    lock_rank m_rank;
    int m_outerRank = 0; ///< Rank that the holder had before; restored by unlock.
};

} // namespace radishflow
