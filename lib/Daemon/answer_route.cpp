// Implements the walk of one request over the servers in its rank.
#include "radishflow/Daemon/answer_route.h"

#include "radishflow/Support/boottime_clock.h"

#include <Poco/UUIDGenerator.h>

#include <numeric>
#include <utility>

namespace radishflow {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

answer_route::answer_route(owner_link& link, shared_retry_budget& retries, request_submission prototype, std::vector<known_server> rank, bool isRepeatable, rank_order order)
    : m_link(link)
    , m_retries(retries)
    , m_submission(std::move(prototype))
    , m_rank(std::move(rank))
    , m_deadline(boottime_clock {}.now() + m_submission.timeLeft)
    , m_isRepeatable(isRepeatable)
{
    if (order == rank_order::AsRanked)
        return;
    server_ranking places(m_rank.size());
    std::iota(places.begin(), places.end(), 0U);
    m_walk.emplace(std::as_const(places));
}

// After a server may have failed under the request, one more may be tried and no third: the request itself may
// be what brings servers down. The budget keeps a failing fleet from being asked twice for everything.
bool answer_route::mayMoveOn(const refusal& reason)
{
    if (reason.execution == execution_state::NotRun)
        return reason.tryNextServer;
    if (!m_isRepeatable || m_hasRetried || reason.execution != execution_state::Unknown || reason.status < 500)
        return false;
    m_hasRetried = true;
    return m_retries.tryRetry();
}

// An owner that can't be reached or that has no room leaves the defaults of its refusal: no room, not held.
std::optional<refusal> answer_route::submitTo(const placement_attempt& step)
{
    m_step = step;
    m_submission.rank = step.server;
    m_submission.onlyIfHeld = step.onlyIfHeld;
    // The second round has no walk of its own and still knows the holder.
    if (step.holder)
        m_submission.holder = m_rank[*step.holder].id;
    m_submission.witnessedRunning = witnessedBeside(m_rank[step.server].id);
    std::optional<refusal> reason = offer(m_rank[step.server]);
    if (reason && m_walk && !m_isSecondRound)
        m_walk->recordRefusal({ .hasRoom = reason->hasRoom, .load = reason->load, .held = reason->isHeld ? prefix_state::Likely : prefix_state::Unknown });
    return reason;
}

std::optional<refusal> answer_route::offer(const known_server& server)
{
    m_submission.server = server.id;
    m_submission.attempt = attempt_id { Poco::UUIDGenerator::defaultGenerator().createRandom().toString() };
    m_submission.timeLeft = duration_cast<milliseconds>(m_deadline - boottime_clock {}.now());
    if (m_submission.timeLeft.count() <= 0)
        return refusal { .status = 504, .title = "Deadline passed", .detail = "no server took the request in its time", .execution = execution_state::NotRun, .retryAfter = milliseconds { 1000 } };
    const submit_outcome outcome = valueOr(
        [&] { return m_link.submit(server.ownerPeer, m_submission); },
        [&](const failure& error) {
            const bool isNotRun = error.code == failure_code::Unreachable;
            return submit_outcome { .refused = refusal {
                                        .status = isNotRun ? 503 : 502,
                                        .title = "Owner of the server failed",
                                        .detail = describe(error),
                                        .execution = isNotRun ? execution_state::NotRun : execution_state::Unknown,
                                        .retryAfter = milliseconds { 1000 },
                                        .tryNextServer = isNotRun,
                                    } };
        });
    if (outcome.refused)
        return outcome.refused;
    m_peer = server.ownerPeer;
    m_streamId = outcome.streamId;
    return std::nullopt;
}

// Every server that refused for its share has told what it runs; with that a second round may find room that
// the gossip doesn't know of yet.
bool answer_route::beginSecondRound()
{
    if (m_witnessed.empty() || m_isSecondRound)
        return false;
    m_isSecondRound = true;
    m_next = 0;
    return true;
}

// The second round looks for room only, so it goes in the plain order.
std::optional<placement_attempt> answer_route::nextStep()
{
    if (m_walk && !m_isSecondRound) {
        if (const std::optional<placement_attempt> step = m_walk->next())
            return step;
        m_next = static_cast<std::uint32_t>(m_rank.size());
    }
    if (m_next == m_rank.size() && !beginSecondRound())
        return std::nullopt;
    return placement_attempt { .server = m_next++ };
}

int answer_route::witnessedBeside(const server_id& server) const
{
    int sum = 0;
    for (const auto& [other, running] : m_witnessed)
        sum += other == server ? 0 : running;
    return sum;
}

// A walk that ends says what the last server said. Once one may have run the request, no later refusal can say
// that it was not run.
std::optional<refusal> answer_route::endWalk(refusal last) const
{
    if (m_hasRetried)
        last.execution = execution_state::Unknown;
    return last;
}

std::optional<refusal> answer_route::start()
{
    return walkOn({ .status = 503, .title = "No server available", .detail = m_submission.service.value(), .retryAfter = milliseconds { 1000 } });
}

std::optional<refusal> answer_route::walkOn(refusal last)
{
    while (const std::optional<placement_attempt> step = nextStep()) {
        std::optional<refusal> reason = submitTo(*step);
        if (!reason)
            return std::nullopt;
        if (!mayMoveOn(*reason))
            return endWalk(*std::move(reason));
        if (reason->runningThere >= 0)
            m_witnessed[m_rank[step->server].id] = reason->runningThere;
        last = *std::move(reason);
    }
    return endWalk(std::move(last));
}

// A read names its offset and changes nothing, so one that failed is done again on another connection.
answer_part answer_route::readOnce(std::uint64_t offset, milliseconds wait)
{
    constexpr int tries = 2;
    answer_part part;
    for (int attempt = 0; attempt < tries; ++attempt) {
        bool hasFailed = false;
        part = valueOr(
            [&] { return m_link.read(m_peer, m_streamId, offset, wait); },
            [&](const failure& error) {
                hasFailed = true;
                return answer_part { .offset = offset, .broken = true, .refused = refusal { .status = 502, .title = "Owner of the server failed", .detail = describe(error), .execution = execution_state::Unknown } };
            });
        if (!hasFailed)
            break;
    }
    return part;
}

answer_part answer_route::read(std::uint64_t offset, milliseconds wait)
{
    answer_part part = readOnce(offset, wait);
    m_hasGivenOut = m_hasGivenOut || part.status != 0;
    if (part.finished)
        m_retries.succeeded();
    if (!part.broken || m_hasGivenOut || !part.refused)
        return part;
    if (!mayMoveOn(*part.refused)) {
        part.refused = endWalk(*std::move(part.refused));
        return part;
    }
    if (auto reason = walkOn(*part.refused)) {
        part.refused = std::move(reason);
        return part;
    }
    return answer_part { .offset = offset };
}

void answer_route::cancel()
{
    m_link.cancel(m_peer, m_streamId);
}

} // namespace radishflow
