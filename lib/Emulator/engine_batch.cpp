// Implements the engine stand-in's decisions. A cold engine has no queue to hide behind: whatever is sent to
// it runs at once, so that one request too many shows as an overload instead of a longer wait.
#include "engine_batch.h"

#include <algorithm>
#include <tuple>

namespace radishflow {

static constexpr int cachedPrefixSpeedup = 10;

engine_batch::engine_batch(const engine_emulator_options& options, time_point now)
    : m_options(options)
    , m_cache(options.kvPrefixes)
{
    beginCold(now);
}

void engine_batch::beginCold(time_point now)
{
    m_isCold = m_options.coldLimit > 0;
    m_coldSince = now;
    m_completedWhileCold = 0;
    m_record.coldStarts += m_isCold ? 1 : 0;
}

generation_ptr engine_batch::admit(generation_request request, time_point now)
{
    ++m_record.requests[request.id];
    // A second request by the same name replaces the first one.
    if (const generation_ptr earlier = find(request.id); earlier && !earlier->isOver())
        end(earlier, generation_state::Cancelled);

    auto added = std::make_shared<generation>();
    added->request = std::move(request);
    added->arrival = ++m_arrivals;
    m_known[added->request.id] = added;
    m_record.maxLoad = std::max(m_record.maxLoad, running() + waiting() + 1);
    if (m_isCold) {
        start(added, now);
        return added;
    }
    m_waiting.push_back(added);
    fillSlots(now);
    return added;
}

void engine_batch::fillSlots(time_point now)
{
    // requests that waited when the engine turned cold are not held against its limit.
    while (!m_waiting.empty() && running() < (m_isCold ? m_options.coldLimit : m_options.slots)) {
        const auto next = std::min_element(m_waiting.begin(), m_waiting.end(), [](const auto& left, const auto& right) {
            return std::tie(left->request.urgency, left->arrival) < std::tie(right->request.urgency, right->arrival);
        });
        const generation_ptr chosen = *next;
        m_waiting.erase(next);
        start(chosen, now);
    }
}

void engine_batch::start(const generation_ptr& chosen, time_point now)
{
    chosen->state = generation_state::Running;
    m_running.push_back(chosen);
    m_record.maxRunning = std::max(m_record.maxRunning, running());
    if (m_isCold)
        m_record.maxRunningCold = std::max(m_record.maxRunningCold, running());
    if (m_isCold && running() > m_options.coldLimit) {
        m_record.overloads.push_back({ .running = running(), .limit = m_options.coldLimit, .coldFor = now - m_coldSince });
        fallOver(now);
        return;
    }
    if (chosen->request.crashesEngine) {
        ++m_record.crashes;
        fallOver(now);
        return;
    }
    duration first = m_options.firstToken * slowdown();
    if (!chosen->request.prefix.empty()) {
        const bool isHit = m_cache.touch(chosen->request.prefix);
        ++(isHit ? m_record.hits : m_record.misses);
        first = isHit ? first / cachedPrefixSpeedup : first;
    }
    chosen->nextTokenAt = now + first;
}

void engine_batch::fallOver(time_point now)
{
    for (const auto& [id, lost] : m_known) {
        if (!lost->isOver())
            lost->state = generation_state::Lost;
        m_changed.push_back(lost);
    }
    m_known.clear();
    m_running.clear();
    m_waiting.clear();
    m_cache.restart(now);
    m_completedInLife = 0;
    ++m_life;
    beginCold(now);
}

void engine_batch::end(const generation_ptr& ended, generation_state state)
{
    ended->state = state;
    std::erase(m_running, ended);
    std::erase(m_waiting, ended);
    m_record.cancelled += state == generation_state::Cancelled ? 1 : 0;
    m_changed.push_back(ended);
}

void engine_batch::produce(const generation_ptr& chosen, time_point now)
{
    ++chosen->produced;
    chosen->nextTokenAt = now + m_options.tokenInterval * slowdown();
    m_changed.push_back(chosen);
    if (chosen->produced == 1 && !chosen->request.prefix.empty())
        m_cache.store(chosen->request.prefix, now);
    if (chosen->produced < chosen->request.tokens)
        return;
    end(chosen, generation_state::Done);
    ++m_record.completed;
    ++m_completedInLife;
    if (m_isCold && ++m_completedWhileCold >= m_options.warmAfter)
        m_isCold = false;
}

void engine_batch::advance(time_point now)
{
    const std::vector<generation_ptr> running = m_running;
    for (const generation_ptr& candidate : running) {
        if (candidate->nextTokenAt <= now)
            produce(candidate, now);
    }
    std::vector<generation_ptr> expired;
    for (const auto& [id, held] : m_known) {
        if (!held->isAttached && held->detachedAt + m_options.resumeWindow <= now)
            expired.push_back(held);
    }
    for (const generation_ptr& old : expired) {
        if (!old->isOver())
            end(old, generation_state::Cancelled);
        m_known.erase(old->request.id);
    }
    fillSlots(now);
}

generation_ptr engine_batch::find(const std::string& id) const
{
    const auto found = m_known.find(id);
    return found == m_known.end() ? nullptr : found->second;
}

int engine_batch::attach(generation& resumed)
{
    ++m_record.resumed;
    resumed.isAttached = true;
    return ++resumed.attachment;
}

void engine_batch::detach(generation& left, int attachment, time_point now)
{
    if (left.attachment != attachment)
        return;
    left.isAttached = false;
    left.detachedAt = now;
}

bool engine_batch::cancel(const std::string& id)
{
    const generation_ptr found = find(id);
    if (!found || found->isOver())
        return false;
    end(found, generation_state::Cancelled);
    return true;
}

void engine_batch::turnCold(time_point now)
{
    m_cache.clear(now);
    beginCold(now);
}

std::map<std::uint64_t, int> engine_batch::runningByOrigin() const
{
    std::map<std::uint64_t, int> counts;
    for (const generation_ptr& each : m_running)
        ++counts[each->request.originTerm];
    for (const generation_ptr& each : m_waiting)
        ++counts[each->request.originTerm];
    return counts;
}

} // namespace radishflow
