// Declares dispatch_latch, which lets one order be in flight at most once.
#pragma once

#include <cassert>

namespace radishflow {

/// Not thread-safe; one thread at a time handles an order.
class dispatch_latch {
public:
    /// Returns whether a dispatch may follow now; false while one is in flight and for ever after end().
    bool tryBegin()
    {
        if (m_phase != phase::Idle)
            return false;
        m_phase = phase::InFlight;
        return true;
    }

    /// The owner said that it dispatched nothing and never will for this attempt; another may be tried.
    void confirmNotDispatched()
    {
        assert(m_phase == phase::InFlight && "only a dispatch is refused");
        m_phase = phase::Idle;
    }

    /// No dispatch follows. Returns whether one was in flight.
    bool end()
    {
        const bool wasInFlight = isInFlight();
        m_phase = phase::Ended;
        return wasInFlight;
    }

    bool isIdle() const { return m_phase == phase::Idle; }
    bool isInFlight() const { return m_phase == phase::InFlight; }

private:
    enum class phase {
        Idle,
        InFlight,
        Ended,
    };

    phase m_phase = phase::Idle;
};

} // namespace radishflow
