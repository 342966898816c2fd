// Declares admission_queue, a bounded queue of requests with fair queueing between workspaces.
#pragma once

#include "radishflow/Admission/fair_share.h"
#include "radishflow/Admission/queued_request.h"

#include <algorithm>
#include <optional>
#include <unordered_map>
#include <vector>

namespace radishflow {

struct admission_queue_options {
    std::size_t capacity = 128; ///< Maximum number of waiting requests.
    duration maxWait = std::chrono::seconds { 2 }; ///< Applies also if the caller's deadline is later.
    duration minRetryAfter = std::chrono::seconds { 1 };
    duration maxRetryAfter = std::chrono::seconds { 30 };
};

/// Queues requests that wait for server capacity, ordered by their workspaces' fair shares and then by urgency.
///
/// The capacity bounds the queue's memory. If the queue is full, a request of the workspace with the most waiting
/// requests is evicted, so a burst from a few workspaces evicts only their own requests. Not thread-safe.
template <monotonic_clock Clock>
class admission_queue {
public:
    admission_queue(const Clock& clock, const admission_queue_options& options)
        : m_clock(clock)
        , m_options(options)
    {
    }

    /// Adds a request. Returns the request that is refused as a result, which may be the added one, or nothing.
    std::optional<refused_request> enqueue(queued_request request)
    {
        const time_point now = m_clock.now();
        if (request.deadline <= now)
            return makeRefusal(request.id);
        m_entries.push_back({ .request = std::move(request), .expiresAt = {}, .order = m_nextOrder++ });
        entry& added = m_entries.back();
        added.expiresAt = std::min(added.request.deadline, now + m_options.maxWait);
        if (m_entries.size() <= m_options.capacity)
            return std::nullopt;
        const auto candidate = findEvictionCandidate();
        const refused_request refused = makeRefusal(candidate->request.id);
        m_entries.erase(candidate);
        return refused;
    }

    /// Removes and returns the request to run next, or nothing. Skips expired requests; call removeExpired() first to refuse them.
    std::optional<queued_request> dequeue()
    {
        const time_point now = m_clock.now();
        auto best = m_entries.end();
        double bestStartTime = 0;
        for (auto candidate = m_entries.begin(); candidate != m_entries.end(); ++candidate) {
            if (candidate->expiresAt <= now)
                continue;
            const double startTime = m_shares.startTimeOf(candidate->request.workspace);
            if (best != m_entries.end() && !precedes(*candidate, startTime, *best, bestStartTime))
                continue;
            best = candidate;
            bestStartTime = startTime;
        }
        if (best == m_entries.end())
            return std::nullopt;
        queued_request request = std::move(best->request);
        m_entries.erase(best);
        recordServed(request.workspace, request.weight, request.priority);
        return request;
    }

    /// Charges a served request to its workspace's share; call it for a request that ran without being queued.
    void recordServed(const workspace_id& workspace, double weight, request_priority priority)
    {
        m_shares.recordServed(workspace, weight * priority.weight());
        updateServiceInterval();
    }

    /// Removes and returns the requests that have waited for maxWait or passed their deadlines.
    std::vector<refused_request> removeExpired()
    {
        const time_point now = m_clock.now();
        std::vector<refused_request> refused;
        for (const entry& waiting : m_entries) {
            if (waiting.expiresAt <= now)
                refused.push_back(makeRefusal(waiting.request.id));
        }
        std::erase_if(m_entries, [&](const entry& waiting) { return waiting.expiresAt <= now; });
        return refused;
    }

    /// Removes a request whose caller has disconnected. Returns false if it is not in the queue.
    bool cancel(const request_id& id)
    {
        return std::erase_if(m_entries, [&](const entry& waiting) { return waiting.request.id == id; }) > 0;
    }

    std::size_t size() const { return m_entries.size(); }
    std::size_t shareEntryCount() const { return m_shares.size(); }

    /// Estimates how long the requests in the queue and one more take at the current service rate, within the bounds of the options.
    duration retryAfter() const
    {
        const double waiting = static_cast<double>(m_entries.size()) + 1;
        const std::chrono::duration<double> estimate { waiting * m_meanServiceInterval };
        return std::clamp(std::chrono::duration_cast<duration>(estimate), m_options.minRetryAfter, m_options.maxRetryAfter);
    }

private:
    struct entry {
        queued_request request;
        time_point expiresAt;
        std::uint64_t order = 0; ///< Position in the order of arrival.
    };

    static bool precedes(const entry& left, double leftStartTime, const entry& right, double rightStartTime)
    {
        if (left.request.workspace == right.request.workspace || leftStartTime == rightStartTime)
            return std::pair { left.request.priority, left.order } < std::pair { right.request.priority, right.order };
        return leftStartTime < rightStartTime;
    }

    // Of the workspace with the most waiting requests, finds the least urgent request, or the last to arrive of several.
    auto findEvictionCandidate()
    {
        std::unordered_map<workspace_id, std::size_t> waitingCounts;
        for (const entry& waiting : m_entries)
            ++waitingCounts[waiting.request.workspace];
        return std::max_element(m_entries.begin(), m_entries.end(), [&](const entry& left, const entry& right) {
            const auto key = [&](const entry& waiting) { return std::tuple { waitingCounts[waiting.request.workspace], waiting.request.priority, waiting.order }; };
            return key(left) < key(right);
        });
    }

    refused_request makeRefusal(const request_id& id) const { return { .id = id, .retryAfter = retryAfter() }; }

    void updateServiceInterval()
    {
        constexpr double newestWeight = 0.1;
        const time_point now = m_clock.now();
        if (m_lastServedAt) {
            const std::chrono::duration<double> elapsed = now - *m_lastServedAt;
            m_meanServiceInterval += newestWeight * (elapsed.count() - m_meanServiceInterval);
        }
        m_lastServedAt = now;
    }

    const Clock& m_clock;
    admission_queue_options m_options;
    std::vector<entry> m_entries;
    fair_share m_shares;
    std::uint64_t m_nextOrder = 0;
    std::optional<time_point> m_lastServedAt;
    double m_meanServiceInterval = 0.1; ///< Exponential moving average of the seconds between two served requests.
};

} // namespace radishflow
