// Declares dispatch_latch, which allows at most one dispatch of an order to be in flight.
#pragma once

#include <cassert>

namespace radishflow {

/// Tracks whether an order may be dispatched, is in flight or has ended. Not thread-safe: an order is
/// handled by one thread at a time.
class dispatch_latch {
public:
    /// Begins a dispatch. Returns false, and begins none, while one is in flight and after end().
    bool tryBegin()
    {
        if (m_phase != phase::Idle)
            return false;
        m_phase = phase::InFlight;
        return true;
    }

    /// Records that the server's owner confirmed that it did not and will not dispatch this attempt, so that
    /// another dispatch may begin.
    void confirmNotDispatched()
    {
        assert(m_phase == phase::InFlight && "no dispatch is in flight");
        m_phase = phase::Idle;
    }

    /// Allows no further dispatch. Returns whether one was in flight.
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
