// Implements the check of the lock order.
#include "radishflow/Support/ranked_mutex.h"

#include <cassert>

namespace radishflow {

static thread_local int heldRank = 0;

// A deadlock shows only under the unlucky interleaving; the wrong order shows on every run.
void ranked_mutex::lock()
{
    assert(static_cast<int>(m_rank) > heldRank && "locks are taken in the order of lock_rank");
    m_mutex.lock();
    m_outerRank = heldRank;
    heldRank = static_cast<int>(m_rank);
}

void ranked_mutex::unlock()
{
    heldRank = m_outerRank;
    m_mutex.unlock();
}

} // namespace radishflow
