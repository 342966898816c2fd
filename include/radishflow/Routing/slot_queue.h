// Declares slot_queue, which decides in which order requests get the free slots of a service's servers, and which are refused.
#pragma once

#include "radishflow/Support/monotonic_clock.h"
#include "radishflow/Support/number_id.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace radishflow {

using slot_ticket = number_id<struct slot_ticket_tag>;

struct slot_request {
    time_point objective {}; ///< When the response is due to be on time.
    time_point deadline {}; ///< When the caller stops waiting.
    int priority = 0; ///< 0 is the most urgent.
};

struct slot_queue_options {
    duration initialHold = std::chrono::milliseconds { 40 }; ///< Assumed time for which a request holds a slot, before any has ended.
    double holdWeight = 0.1; ///< Weight of the newest hold in the mean.
    double minWaitInHolds = 1; ///< For which a request waits even if it will be late, as a multiple of the time for which one holds a slot.
    duration minRetryAfter = std::chrono::milliseconds { 100 };
};

/// Answers the load of a service whose few slots are all busy at times. A server that gets more requests than it has slots slows
/// down, so the requests wait here, by priority and time of arrival. One whose turn would come too late for its objective is refused at
/// once, with the time until the queue has drained: the slots serve as many requests either way, and those that wait longer would
/// all be late. Not thread-safe.
template <monotonic_clock Clock>
class slot_queue {
public:
    struct admission {
        std::optional<slot_ticket> ticket; ///< Not set if the request is refused.
        duration retryAfter {}; ///< After which a refused request would be accepted.
    };

    explicit slot_queue(const Clock& clock, const slot_queue_options& options = {})
        : m_clock(clock)
        , m_options(options)
        , m_meanHold(std::chrono::duration<double>(options.initialHold).count())
    {
    }

    void setSlots(std::size_t slots) { m_slots = slots; }
    std::size_t busySlots() const { return m_busy; }
    std::size_t waiting() const { return m_waiting.size(); }
    duration meanHold() const { return std::chrono::duration_cast<duration>(std::chrono::duration<double> { m_meanHold }); }

    /// Adds a request to the queue, or refuses it.
    admission enter(const slot_request& request)
    {
        const time_point now = m_clock.now();
        const duration limit = maxWait(request, now);
        if (m_slots == 0 || expectedWait(request) > limit)
            return { .retryAfter = std::max(expectedWaitOf(m_waiting.size()), m_options.minRetryAfter) };
        const slot_ticket ticket { ++m_lastTicket };
        m_waiting.push_back({ .ticket = ticket, .request = request, .until = now + limit });
        return { .ticket = ticket };
    }

    /// Returns the ticket whose turn it is, if a slot is free.
    std::optional<slot_ticket> next() const
    {
        if (m_busy >= m_slots || m_waiting.empty())
            return std::nullopt;
        return std::min_element(m_waiting.begin(), m_waiting.end(), goesBefore)->ticket;
    }

    /// Returns whether a request has waited for as long as it may.
    bool isOverdue(slot_ticket ticket) const
    {
        const auto found = find(ticket);
        return found != m_waiting.end() && m_clock.now() >= found->until;
    }

    /// Gives a slot to a waiting request.
    void start(slot_ticket ticket)
    {
        leave(ticket);
        ++m_busy;
    }

    /// Removes a waiting request.
    void leave(slot_ticket ticket)
    {
        std::erase_if(m_waiting, [&](const waiter& entry) { return entry.ticket == ticket; });
    }

    /// Frees a slot that was held for a time, or by a request that did not run.
    void finish(std::optional<duration> held)
    {
        m_busy -= m_busy > 0 ? 1 : 0;
        if (held)
            m_meanHold += m_options.holdWeight * (std::chrono::duration<double>(*held).count() - m_meanHold);
    }

private:
    struct waiter {
        slot_ticket ticket;
        slot_request request;
        time_point until {};
    };

    static bool goesBefore(const waiter& left, const waiter& right)
    {
        if (left.request.priority != right.request.priority)
            return left.request.priority < right.request.priority;
        return left.ticket < right.ticket;
    }

    duration expectedWaitOf(std::size_t ahead) const
    {
        if (m_slots == 0 || (ahead == 0 && m_busy < m_slots))
            return {};
        const double turns = static_cast<double>(ahead + 1) / static_cast<double>(m_slots);
        return std::chrono::duration_cast<duration>(std::chrono::duration<double> { turns * m_meanHold });
    }

    duration expectedWait(const slot_request& request) const
    {
        const waiter added { .ticket = slot_ticket { m_lastTicket + 1 }, .request = request };
        return expectedWaitOf(static_cast<std::size_t>(std::count_if(m_waiting.begin(), m_waiting.end(), [&](const waiter& entry) { return goesBefore(entry, added); })));
    }

    duration maxWait(const slot_request& request, time_point now) const
    {
        const duration late = std::chrono::duration_cast<duration>(meanHold() * m_options.minWaitInHolds);
        return std::min(std::max(request.objective - now - meanHold(), late), std::max(request.deadline - now, duration {}));
    }

    typename std::vector<waiter>::const_iterator find(slot_ticket ticket) const
    {
        return std::find_if(m_waiting.begin(), m_waiting.end(), [&](const waiter& entry) { return entry.ticket == ticket; });
    }

    const Clock& m_clock;
    slot_queue_options m_options;
    std::size_t m_slots = 0;
    std::size_t m_busy = 0;
    double m_meanHold; ///< Seconds.
    std::uint64_t m_lastTicket = 0;
    std::vector<waiter> m_waiting; ///< In the order of arrival.
};

} // namespace radishflow
