// Implements the execution of non-idempotent calls at the receiving daemon.
#include "radishflow/Daemon/order_runner.h"

#include "radishflow/Daemon/request_route.h"

#include <Poco/UUIDGenerator.h>

#include <memory>
#include <optional>
#include <utility>

namespace radishflow {

using std::chrono::milliseconds;

static constexpr std::size_t maxAnswerBytes = 8 << 20;
static constexpr milliseconds readTimeout { 500 };
static constexpr milliseconds retryDelay { 1000 };

order_runner::order_runner(options theOptions, platform_client& platform, gossip_transport& gossip, owner_client& ownerClient, shared_retry_budget& retries)
    : m_ownerClient(ownerClient)
    , m_retries(retries)
    , m_claims(platform, member_liveness { gossip }, { .daemon = theOptions.daemon, .incarnation = theOptions.process, .recordsDispatch = true })
    , m_reservations(m_clock, { .daemon = theOptions.daemon, .incarnation = theOptions.process, .secret = std::move(theOptions.secret) })
{
    gossip.publish(processRecord, std::to_string(theOptions.process.value()));
}

static caller_answer answerWith(const request_id& request, const stored_response& answer)
{
    const answer_part whole { .data = answer.body, .finished = true, .status = answer.status, .contentType = answer.contentType };
    return {
        .request = request,
        .resumeId = [request] { return request; },
        .read = [whole](std::uint64_t, milliseconds) { return answer_part { whole }; },
        .cancel = [] {},
    };
}

static const char* titleOf(reply_reason reason)
{
    switch (reason) {
    case reply_reason::Replayed:
    case reply_reason::ResponseNotStored:
        return "It ran, but its answer was too long to keep";
    case reply_reason::InProgress:
        return "Another call with this key is in progress";
    case reply_reason::KeyReused:
        return "The key belongs to another order";
    case reply_reason::Refused:
        return "Not run; a new try needs a new key";
    case reply_reason::NotDispatched:
        return "Not run";
    case reply_reason::HolderGone:
        return "The daemon that handled it is gone";
    case reply_reason::OutcomeLost:
        return "The backend server's answer was lost";
    case reply_reason::TableUnavailable:
        return "The platform's table did not settle it";
    case reply_reason::InvalidKey:
        return "The key is not valid";
    case reply_reason::ReservationLimitReached:
        return "Too many tickets are in use";
    case reply_reason::OtherDaemon:
        return "The ticket belongs to another daemon";
    case reply_reason::ReservationExpired:
        return "The ticket has expired";
    case reply_reason::NotFound:
        return "No daemon has seen this key";
    }
    return "Not known";
}

static refusal refusalOf(const order_reply& reply, const std::string& detail)
{
    return {
        .status = statusOf(reply),
        .title = titleOf(reply.reason),
        .detail = reply.detail.empty() ? detail : reply.detail,
        .execution = reply.execution,
        .retryAfter = isRetryable(reply.reason) ? retryDelay : milliseconds { 0 },
    };
}

static caller_answer answerWith(const request_id& request, const order_reply& reply, const std::string& detail)
{
    if (reply.reason == reply_reason::Replayed)
        return answerWith(request, reply.response);
    return { .refused = refusalOf(reply, detail), .request = request };
}

// Reads a response to its end. Returns nothing and sets reason when the response is incomplete.
static std::optional<stored_response> readWhole(request_route& route, refusal& reason)
{
    stored_response whole;
    while (true) {
        answer_part part = route.read(whole.body.size(), readTimeout);
        whole.body += part.data;
        if (part.finished) {
            whole.status = part.status;
            whole.contentType = part.contentType;
            return whole;
        }
        if (part.broken || whole.body.size() > maxAnswerBytes) {
            reason = part.refused.value_or(refusal { .title = "Answer too long", .execution = execution_state::Unknown });
            return std::nullopt;
        }
    }
}

caller_answer order_runner::dispatch(const request_submission& submission, const std::vector<known_server>& rank, const dispatch_callbacks& callbacks)
{
    refusal last { .title = "No server available", .detail = submission.service.value(), .retryAfter = retryDelay };
    for (const known_server& server : rank) {
        if (!callbacks.markDispatching())
            break;
        request_route route { m_ownerClient, m_retries, submission, { server }, false };
        std::optional<refusal> reason = route.start();
        std::optional<stored_response> answer;
        if (!reason) {
            refusal broken;
            answer = readWhole(route, broken);
            reason = broken;
        }
        if (answer) {
            callbacks.recordDone(*answer);
            return answerWith(submission.request, *answer);
        }
        if (reason->execution != execution_state::NotRun)
            return answerWith(submission.request, callbacks.endUnknown(), reason->detail);
        callbacks.recordNotRun();
        last = *std::move(reason);
        if (!last.tryNextServer)
            break;
    }
    caller_answer ended = answerWith(submission.request, callbacks.endNotRun(), last.title + ": " + last.detail);
    if (ended.refused)
        ended.refused->retryAfter = std::max(ended.refused->retryAfter, last.retryAfter);
    return ended;
}

caller_answer order_runner::runClaimed(const request_submission& submission, const order& request, const std::vector<known_server>& rank)
{
    const attempt_id attempt { Poco::UUIDGenerator::defaultGenerator().createRandom().toString() };
    claim_result outcome = m_claims.claim(request, attempt);
    if (const auto* reply = std::get_if<order_reply>(&outcome))
        return answerWith(submission.request, *reply, request.key.value());
    auto& claim = std::get<order_claim>(outcome);
    return dispatch(submission, rank,
        {
            .markDispatching = [&] { return m_claims.markDispatching(claim); },
            .recordNotRun = [&] { claim.latch.confirmNotDispatched(); },
            .recordDone = [&](const stored_response& answer) { m_claims.recordDone(claim, answer); },
            .endNotRun = [&] { return m_claims.endNotRun(claim); },
            .endUnknown = [&] { return m_claims.endUnknown(claim); },
        });
}

caller_answer order_runner::runReserved(const request_submission& submission, const order& request, const std::vector<known_server>& rank)
{
    redemption_result outcome = m_reservations.redeem(request);
    if (const auto* reply = std::get_if<order_reply>(&outcome))
        return answerWith(submission.request, *reply, request.key.value());
    auto& permit = std::get<reservation_permit>(outcome);
    return dispatch(submission, rank,
        {
            .markDispatching = [&] { return permit.latch.tryBegin(); },
            .recordNotRun = [&] { permit.latch.confirmNotDispatched(); },
            .recordDone = [&](const stored_response& answer) { m_reservations.recordDone(permit, answer); },
            .endNotRun = [&] { return m_reservations.endNotRun(permit); },
            .endUnknown = [&] { return m_reservations.endUnknown(permit); },
        });
}

caller_answer order_runner::run(const request_submission& submission, const std::vector<known_server>& rank)
{
    const order request { .workspace = submission.workspace, .key = submission.key, .fingerprint = submission.fingerprint };
    if (isReservation(request.key))
        return runReserved(submission, request, rank);
    return runClaimed(submission, request, rank);
}

order_reply order_runner::lookUp(const workspace_id& workspace, const idempotency_key& key)
{
    return m_claims.lookUp({ .workspace = workspace, .key = key });
}

void order_runner::recordPending()
{
    constexpr std::size_t maxWrites = 20;
    m_claims.recordPending(maxWrites);
}

std::vector<idempotency_key> order_runner::issueReservations(const workspace_id& workspace, int count)
{
    std::vector<idempotency_key> reservations;
    reservations.reserve(static_cast<std::size_t>(std::max(0, count)));
    for (int index = 0; index < count; ++index)
        reservations.push_back(m_reservations.issue(workspace));
    return reservations;
}

} // namespace radishflow
