// Declares admission_queue, a short queue that is fair to workspaces.
#pragma once

#include "radishflow/Admission/fair_share.h"
#include "radishflow/Admission/queued_request.h"

#include <algorithm>
#include <optional>
#include <unordered_map>
#include <vector>

namespace radishflow {

struct admission_queue_options {
    std::size_t capacity = 128; ///< Requests.
    duration longestWait = std::chrono::seconds { 2 }; ///< However late the caller's deadline is.
    duration leastRetryAfter = std::chrono::seconds { 1 };
    duration mostRetryAfter = std::chrono::seconds { 30 };
};

/// Requests that wait for room, in the order of their workspaces' shares and then of urgency. Not thread-safe.
///
/// Memory is bounded by the capacity. When it is full, the workspace with the most waiting requests gives one up,
/// so a surge of a few pushes out its own.
template <monotonic_clock Clock>
class admission_queue {
public:
    admission_queue(const Clock& clock, const admission_queue_options& options)
        : m_clock(clock)
        , m_options(options)
    {
    }

    /// Adds a request; returns the one that is refused for it, which may be itself, or nothing.
    std::optional<refused_request> enqueue(queued_request request)
    {
        const time_point now = m_clock.now();
        if (request.deadline <= now)
            return refusal(request.id);
        m_entries.push_back({ .request = std::move(request), .givesUpAt = {}, .order = m_nextOrder++ });
        entry& added = m_entries.back();
        added.givesUpAt = std::min(added.request.deadline, now + m_options.longestWait);
        if (m_entries.size() <= m_options.capacity)
            return std::nullopt;
        const auto victim = findVictim();
        const refused_request refused = refusal(victim->request.id);
        m_entries.erase(victim);
        return refused;
    }

    /// Takes the request that is to run next, or nothing. Call expire() first: this skips what has expired.
    std::optional<queued_request> takeNext()
    {
        const time_point now = m_clock.now();
        auto best = m_entries.end();
        double bestStart = 0;
        for (auto candidate = m_entries.begin(); candidate != m_entries.end(); ++candidate) {
            if (candidate->givesUpAt <= now)
                continue;
            const double start = m_shares.startOf(candidate->request.workspace);
            if (best != m_entries.end() && !goesBefore(*candidate, start, *best, bestStart))
                continue;
            best = candidate;
            bestStart = start;
        }
        if (best == m_entries.end())
            return std::nullopt;
        queued_request request = std::move(best->request);
        m_entries.erase(best);
        servedAtOnce(request.workspace, request.weight, request.priority);
        return request;
    }

    /// Counts a request that ran without waiting towards its workspace's share.
    void servedAtOnce(const workspace_id& workspace, double weight, request_priority priority)
    {
        m_shares.serve(workspace, weight * priority.weight());
        noteServed();
    }

    /// Gives up what has waited too long or is past its deadline.
    std::vector<refused_request> expire()
    {
        const time_point now = m_clock.now();
        std::vector<refused_request> refused;
        for (const entry& waiting : m_entries) {
            if (waiting.givesUpAt <= now)
                refused.push_back(refusal(waiting.request.id));
        }
        std::erase_if(m_entries, [&](const entry& waiting) { return waiting.givesUpAt <= now; });
        return refused;
    }

    /// Removes a request whose caller has gone; returns false when it does not wait here.
    bool cancel(const request_id& id)
    {
        return std::erase_if(m_entries, [&](const entry& waiting) { return waiting.request.id == id; }) > 0;
    }

    std::size_t size() const { return m_entries.size(); }
    std::size_t shareEntries() const { return m_shares.size(); }

    /// Returns how long the present queue would take at the present rate of service, within the options' bounds.
    duration retryAfter() const
    {
        const double waiting = static_cast<double>(m_entries.size()) + 1;
        const std::chrono::duration<double> estimate { waiting * m_secondsBetween };
        return std::clamp(std::chrono::duration_cast<duration>(estimate), m_options.leastRetryAfter, m_options.mostRetryAfter);
    }

private:
    struct entry {
        queued_request request;
        time_point givesUpAt;
        std::uint64_t order = 0; ///< Of arrival.
    };

    static bool goesBefore(const entry& left, double leftStart, const entry& right, double rightStart)
    {
        if (left.request.workspace == right.request.workspace || leftStart == rightStart)
            return std::pair { left.request.priority, left.order } < std::pair { right.request.priority, right.order };
        return leftStart < rightStart;
    }

    // Of the workspace with the most waiting requests, the least urgent one that came last.
    auto findVictim()
    {
        std::unordered_map<workspace_id, std::size_t> waiting;
        for (const entry& each : m_entries)
            ++waiting[each.request.workspace];
        return std::max_element(m_entries.begin(), m_entries.end(), [&](const entry& left, const entry& right) {
            const auto key = [&](const entry& each) { return std::tuple { waiting[each.request.workspace], each.request.priority, each.order }; };
            return key(left) < key(right);
        });
    }

    refused_request refusal(const request_id& id) const { return { .id = id, .retryAfter = retryAfter() }; }

    void noteServed()
    {
        constexpr double weightOfNewest = 0.1;
        const time_point now = m_clock.now();
        if (m_servedAt) {
            const std::chrono::duration<double> passed = now - *m_servedAt;
            m_secondsBetween += weightOfNewest * (passed.count() - m_secondsBetween);
        }
        m_servedAt = now;
    }

    const Clock& m_clock;
    admission_queue_options m_options;
    std::vector<entry> m_entries;
    fair_share m_shares;
    std::uint64_t m_nextOrder = 0;
    std::optional<time_point> m_servedAt;
    double m_secondsBetween = 0.1; ///< Moving mean of the time between two requests served.
};

} // namespace radishflow
