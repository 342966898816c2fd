// Implements the attempts to place one request at a server.
#include "radishflow/Daemon/request_route.h"

#include "radishflow/Support/boottime_clock.h"

#include <Poco/UUIDGenerator.h>

#include <numeric>
#include <utility>

namespace radishflow {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

request_route::request_route(owner_client& ownerClient, shared_retry_budget& retries, request_submission prototype, std::vector<known_server> rank, bool isRepeatable, rank_order order)
    : m_ownerClient(ownerClient)
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
    m_probeSequence.emplace(std::as_const(places));
}

// After an attempt that may have failed during execution, only one more server is tried, because the request itself
// may cause the crashes. The retry budget keeps a failing fleet from receiving every request twice.
bool request_route::canTryNextServer(const refusal& reason)
{
    if (reason.execution == execution_state::NotRun)
        return reason.tryNextServer;
    if (!m_isRepeatable || m_hasRetried || reason.execution != execution_state::Unknown || reason.status < 500)
        return false;
    m_hasRetried = true;
    return m_retries.tryRetry();
}

// The refusal of an owner that is unreachable or has no room keeps its defaults: no room, prefix not held.
std::optional<refusal> request_route::submitTo(const placement_attempt& step)
{
    m_lastAttempt = step;
    m_submission.rank = step.server;
    m_submission.onlyIfHeld = step.onlyIfHeld;
    // The second round does not use the probe sequence but still sends the prefix holder.
    if (step.holder)
        m_submission.holder = m_rank[*step.holder].id;
    m_submission.witnessedRunning = reportedLoadExcept(m_rank[step.server].id);
    std::optional<refusal> reason = offer(m_rank[step.server]);
    if (reason && m_probeSequence && !m_isSecondRound)
        m_probeSequence->recordRefusal({ .hasRoom = reason->hasRoom, .load = reason->load, .held = reason->isHeld ? prefix_state::Likely : prefix_state::Unknown });
    return reason;
}

// A resumption continues a generation and starts none, so its caller can come back even if the attempt reached the server.
refusal request_route::refusalFor(const failure& ownerFailure, bool wasAccepted) const
{
    const bool isNotRun = !wasAccepted && ownerFailure.code == failure_code::Unreachable;
    const bool isResumption = m_submission.resumeAfter > 0;
    return {
        .status = isNotRun || isResumption ? 503 : 502,
        .title = "Owner of the server failed",
        .detail = describe(ownerFailure),
        .execution = isNotRun ? execution_state::NotRun : execution_state::Unknown,
        .retryAfter = milliseconds { 1000 },
        .tryNextServer = isNotRun,
    };
}

std::optional<refusal> request_route::offer(const known_server& server)
{
    m_submission.server = server.id;
    m_submission.attempt = attempt_id { Poco::UUIDGenerator::defaultGenerator().createRandom().toString() };
    m_submission.timeLeft = duration_cast<milliseconds>(m_deadline - boottime_clock {}.now());
    if (m_submission.timeLeft.count() <= 0)
        return refusal { .status = 504, .title = "Deadline passed", .detail = "no server took the request in its time", .execution = execution_state::NotRun, .retryAfter = milliseconds { 1000 } };
    const submit_outcome outcome = valueOr(
        [&] { return m_ownerClient.submit(server.ownerPeer, m_submission); },
        [&](const failure& error) { return submit_outcome { .refused = refusalFor(error, false) }; });
    if (outcome.refused)
        return outcome.refused;
    m_peer = server.ownerPeer;
    m_streamId = outcome.streamId;
    return std::nullopt;
}

// Servers that refused because of their load share report how many requests they run. With these counts a second
// round may find room that the gossiped load sums do not show yet.
bool request_route::startSecondRound()
{
    if (m_reportedLoads.empty() || m_isSecondRound)
        return false;
    m_isSecondRound = true;
    m_next = 0;
    return true;
}

// The second round only looks for room, so it follows the plain ranking.
std::optional<placement_attempt> request_route::nextAttempt()
{
    if (m_probeSequence && !m_isSecondRound) {
        if (const std::optional<placement_attempt> step = m_probeSequence->next())
            return step;
        m_next = static_cast<std::uint32_t>(m_rank.size());
    }
    if (m_next == m_rank.size() && !startSecondRound())
        return std::nullopt;
    return placement_attempt { .server = m_next++ };
}

int request_route::reportedLoadExcept(const server_id& server) const
{
    int sum = 0;
    for (const auto& [other, running] : m_reportedLoads)
        sum += other == server ? 0 : running;
    return sum;
}

// Returns the last refusal. Once a server may have run the request, the result must not claim that it was not run.
std::optional<refusal> request_route::finalRefusal(refusal last) const
{
    if (m_hasRetried)
        last.execution = execution_state::Unknown;
    return last;
}

std::optional<refusal> request_route::start()
{
    return tryRemaining({ .status = 503, .title = "No server available", .detail = m_submission.service.value(), .retryAfter = milliseconds { 1000 } });
}

std::optional<refusal> request_route::tryRemaining(refusal last)
{
    while (const std::optional<placement_attempt> step = nextAttempt()) {
        std::optional<refusal> reason = submitTo(*step);
        if (!reason)
            return std::nullopt;
        if (!canTryNextServer(*reason))
            return finalRefusal(*std::move(reason));
        if (reason->runningThere >= 0)
            m_reportedLoads[m_rank[step->server].id] = reason->runningThere;
        last = *std::move(reason);
    }
    return finalRefusal(std::move(last));
}

// A read carries its offset and changes nothing, so a failed read is repeated on another connection.
answer_part request_route::readOnce(std::uint64_t offset, milliseconds wait)
{
    constexpr int tries = 2;
    answer_part part;
    for (int attempt = 0; attempt < tries; ++attempt) {
        bool hasFailed = false;
        part = valueOr(
            [&] { return m_ownerClient.read(m_peer, m_streamId, offset, wait); },
            [&](const failure& error) {
                hasFailed = true;
                return answer_part { .offset = offset, .broken = true, .refused = refusalFor(error, true) };
            });
        if (!hasFailed)
            break;
    }
    return part;
}

answer_part request_route::read(std::uint64_t offset, milliseconds wait)
{
    answer_part part = readOnce(offset, wait);
    m_hasForwarded = m_hasForwarded || part.status != 0;
    if (part.finished)
        m_retries.succeeded();
    if (!part.broken || m_hasForwarded || !part.refused)
        return part;
    if (!canTryNextServer(*part.refused)) {
        part.refused = finalRefusal(*std::move(part.refused));
        return part;
    }
    if (auto reason = tryRemaining(*part.refused)) {
        part.refused = std::move(reason);
        return part;
    }
    return answer_part { .offset = offset };
}

void request_route::cancel()
{
    m_ownerClient.cancel(m_peer, m_streamId);
}

} // namespace radishflow
