// Implements the part of relay_call that selects backend servers and sends the request to them.
#pragma once

#include "radishflow/Support/hashing.h"

#include <algorithm>
#include <chrono>
#include <thread>
#include <utility>

namespace radishflow {

// Connecting takes a few milliseconds within a region, so a host that takes longer is considered unreachable.
inline constexpr std::chrono::milliseconds connectTimeout { 300 };
// Maximum idle time of a connection that is reused. If the server closes the connection just as the request is sent, a
// request that must not be repeated is lost; such requests therefore only reuse connections that were in use very recently.
inline constexpr std::chrono::seconds maxIdleTime { 30 };
inline constexpr std::chrono::milliseconds maxIdleTimeForNonRepeatable { 800 };
inline constexpr std::size_t maxIdlePerServer = 16; // A daemon rarely has more requests at one server at a time.
// A request waits for a server for at most this fraction (1/8) of its latency objective; the rest remains for the resend.
inline constexpr int serverWaitDivisor = 8;
inline constexpr std::chrono::milliseconds serverWaitInterval { 15 };
// Servers that one attempt asks for their process in turn; a silent one takes the whole timeout of a query.
inline constexpr int maxUnconfirmedServers = 3;
// Subtracted from the caller's deadline, so that the final response reaches the caller in time.
inline constexpr std::chrono::milliseconds responseTransitAllowance { 10 };
// Applies if neither the caller nor the route sets a deadline.
inline constexpr std::chrono::seconds defaultTimeout { 60 };
// Response timeout as a multiple of the latency objective. It is longer for streams, since a resend makes another server
// process the whole prompt again.
inline constexpr double callTimeoutFactor = 1.5;
inline constexpr double streamTimeoutFactor = 2.5;

// Result of an attempt that established no connection, as logged.
inline constexpr const char* unreachableResult = "unreachable";
// Result of an attempt that was not made, as the server did not state that the process which its entry names runs.
inline constexpr const char* unidentifiedResult = "unidentified";
// Result of an attempt to resume a stream that was answered otherwise, as logged.
inline constexpr const char* notAStreamResult = "not_a_stream";

/// Returns the result of an attempt whose connection failed, as logged. Distinguishes a silent server from one that reset the connection.
inline const char* brokenResult(const server_exchange& exchange)
{
    if (exchange.hasPeerTimedOut())
        return "unresponsive";
    return exchange.isReused() ? "broke_reused" : "broke";
}

/// Returns whether events of the response may follow those of a stream that has begun.
inline bool continuesStream(const response_head& head, const response_metadata& metadata)
{
    constexpr int okStatus = 200;
    return metadata.isEventStream && head.status == okStatus;
}

template <relay_protocol Protocol>
relay_call<Protocol>::relay_call(const Protocol& protocol, const relay_context& context, relay_socket& caller, const caller_message& message, bool keepsOpen, const forwarded_request* forwarded)
    : m_protocol(protocol)
    , m_context(context)
    , m_forwarded(forwarded)
    , m_caller(caller)
    , m_message(message)
    , m_keepsOpen(keepsOpen)
    , m_request(protocol.readRequest(message.head))
    , m_admitted(admit(m_request, context.routing.routes(), context.freshness, now()))
    , m_servers(context.routing.servers())
    , m_fleet(context.routing.fleet())
{
    m_record.request = m_request.id;
    m_record.resumes = m_request.resumes;
    m_record.configAge = context.freshness.age(now());
    m_record.fleetSize = m_fleet->size;
    if (m_admitted.routes)
        m_record.config = m_admitted.routes->version();
    if (!m_admitted.target)
        return;
    m_record.route = m_admitted.target->name;
    m_record.service = m_admitted.service;
    if (m_admitted.workspace)
        m_record.workspace = m_admitted.workspace->id;
    m_deadline = message.receivedAt + defaultTimeout;
    if (m_admitted.target->timeout.count() > 0)
        m_deadline = message.receivedAt + m_admitted.target->timeout;
    if (m_request.timeLeft)
        m_deadline = std::min<time_point>(m_deadline, message.receivedAt + *m_request.timeLeft - responseTransitAllowance);
    if (!m_forwarded)
        return;
    m_record.forwardedFrom = m_forwarded->from;
    m_deadline = std::min<time_point>(m_deadline, message.receivedAt + m_forwarded->timeLeft - responseTransitAllowance);
    m_history.mayHaveRun = m_forwarded->mayHaveRun;
    m_history.servers = m_forwarded->triedServers;
    m_version = m_forwarded->version;
    if (m_forwarded->resumeAfter)
        m_eventSplitter.resumeAfter(*m_forwarded->resumeAfter);
}

template <relay_protocol Protocol>
bool relay_call<Protocol>::run()
{
    constexpr int serviceUnavailable = 503;
    // The forwarding daemon has admitted the request. By an older configuration this one could revert what its callers have seen.
    if (m_forwarded && m_record.config < m_forwarded->config)
        return refuse(refusalToPeer("this daemon has an older configuration"), refusal_scope::Capacity);
    if (m_admitted.problem)
        return refuse(*m_admitted.problem, m_admitted.problem->status == serviceUnavailable ? refusal_scope::Capacity : refusal_scope::Request);
    if (const auto problem = refusalWhileStopping())
        return refuse(*problem, refusal_scope::Capacity);
    if (const auto isSent = m_forwarded ? refuseForwarded() : std::nullopt)
        return *isSent;
    if (m_admitted.target->kind == work_kind::Stream && m_message.head.minorVersion == 0)
        return refuse({ .status = 505, .title = "Streams need HTTP/1.1", .detail = "without chunks a stream that breaks looks like one that ends" });
    m_identity = identify();
    m_record.fingerprint = toHex(m_identity.content);
    if (const auto problem = refusalForQuarantine())
        return refuse(*problem);
    if (!m_servers)
        return refuse(refusalForAttempts(m_history, false));
    if (const auto problem = refusalForUnknownOrigin())
        return refuse(*problem);
    // The daemon that forwarded a request has counted it.
    if (!m_forwarded)
        m_context.retries.countRequest(m_admitted.service);
    while (true) {
        const bool isResend = m_attempts++ > 0;
        awaitCrashDecision();
        if (const auto problem = isResend ? refusalForQuarantine() : std::nullopt) {
            m_record.reason = problem->title;
            return sendFailure();
        }
        if (isResend && !std::exchange(m_isResendReserved, false) && !tryReserveResend())
            return sendFailure();
        if (const bool isLost = isAccessLost(); isLost || !canResend(*m_admitted.target, m_history)) {
            const auto result = isLost ? attemptAtPeer() : std::nullopt;
            if (result == attempt_result::Finished)
                return m_isResponseComplete;
            if (result == attempt_result::CallerGone) {
                recordOutcome(0, "caller_gone");
                return false;
            }
            if (m_isFinal || (!result && !m_context.access.monitorOf(m_admitted.service).hasLiveConnections()))
                return sendFailure();
            if (result)
                continue;
        }
        if (const auto result = attemptAtDispatcher()) {
            if (result == attempt_result::Finished)
                return m_isResponseComplete;
            if (result == attempt_result::CallerGone) {
                recordOutcome(0, "caller_gone");
                return false;
            }
            if (m_isFinal)
                return sendFailure();
            continue;
        }
        if (!canResend(*m_admitted.target, m_history))
            return sendFailure();
        const auto server = chooseKnownServer();
        if (m_caller.hasPeerDisconnected()) {
            if (server) {
                m_context.balancer.recordPromptRequestEnded(server->server.id, affinity());
                m_context.balancer.finishRequest(server->server.id, server_outcome::Abandoned);
            }
            recordOutcome(0, "caller_gone");
            return false;
        }
        if (!server) {
            // All servers may have been tried while access to them is lost.
            if (std::exchange(m_hasNoServer, true) || !canForward())
                return sendFailure();
            continue;
        }
        switch (attempt(*server)) {
        case attempt_result::Finished:
            return m_isResponseComplete;
        case attempt_result::CallerGone:
            recordOutcome(0, "caller_gone");
            return false;
        case attempt_result::Failed:
            if (m_isFinal)
                return sendFailure();
            break;
        }
    }
}

// The service's limit on connections to a server applies to all daemons together. Idle connections use at most half of it,
// divided equally among the daemons.
template <relay_protocol Protocol>
std::size_t relay_call<Protocol>::maxIdleConnectionsToServer() const
{
    const service_policy* policy = m_admitted.routes->policyOf(m_admitted.service);
    if (!policy || policy->connectionLimit == 0)
        return maxIdlePerServer;
    const std::size_t share = static_cast<std::size_t>(policy->connectionLimit) / (2 * m_fleet->size);
    return std::clamp<std::size_t>(share, 1, maxIdlePerServer);
}

template <relay_protocol Protocol>
bool relay_call<Protocol>::tryReserveResend()
{
    if (now() >= m_deadline || (!canResend(*m_admitted.target, m_history) && !canForward()))
        return false;
    // Only requests that reach a server add load, so a resend is free as long as none was reached.
    return m_contactedServers == 0 || m_context.retries.tryConsume(m_admitted.service, m_fleet->knownSize());
}

// Returns how long to wait for a response head before a request that may be repeated is resent to another server.
template <relay_protocol Protocol>
duration relay_call<Protocol>::responseTimeout() const
{
    const double factor = m_admitted.target->kind == work_kind::Stream ? streamTimeoutFactor : callTimeoutFactor;
    return std::chrono::duration_cast<duration>(m_admitted.target->objective * factor);
}

// Ending the connection to a silent server helps only a request that this daemon or the caller may send again. Any other request would be
// lost by it, though a sound server still responds.
template <relay_protocol Protocol>
std::chrono::milliseconds relay_call<Protocol>::maxSilence() const
{
    return isRepeatable(*m_admitted.target) ? maxSilenceIfRepeatable : maxSilenceIfNotRepeatable;
}

template <relay_protocol Protocol>
std::uint64_t relay_call<Protocol>::affinity() const
{
    if (m_request.prompt.empty())
        return 0;
    // The last part is specific to the request, so the part before it identifies the longest prefix shared with others.
    const std::size_t shared = m_request.prompt.size() > 1 ? m_request.prompt.size() - 2 : 0;
    return m_request.prompt[shared].id | 1U;
}

template <relay_protocol Protocol>
server_query relay_call<Protocol>::queryFor(const fleet_view& fleet) const
{
    const service_policy* policy = m_admitted.routes->policyOf(m_admitted.service);
    return {
        .service = m_admitted.service,
        .affinity = affinity(),
        .tieBreak = stableHash(m_request.id.value()),
        .zone = m_context.zone,
        .priority = m_admitted.priority(),
        .objective = m_admitted.target->objective,
        .coldRequestsPerSecond = policy ? policy->coldRequestsPerSecond : 0,
        .version = m_version,
        .restriction = restrictionForRollout(),
        .needsKnownProcess = m_admitted.target->isResumable,
        .excluded = m_history.servers,
        .fleet = &fleet,
    };
}

// Waits for a short time if no server can accept the request now because every server is cold and has used up its current
// quota of requests.
template <relay_protocol Protocol>
std::optional<chosen_server> relay_call<Protocol>::chooseServer()
{
    const time_point waitEnd = std::min<time_point>(m_deadline, m_message.receivedAt + m_admitted.target->objective / serverWaitDivisor);
    while (true) {
        m_servers = m_context.routing.servers();
        m_fleet = m_context.routing.fleet();
        m_record.eligibleServers = m_servers->eligible(m_admitted.service).size();
        if (dispatchPlan()->dispatchesItself())
            return chooseServerWithSlot();
        server_query query = queryFor(*m_fleet);
        auto server = m_context.balancer.startRequest(*m_servers, query);
        if (!server && query.restriction.hasAlternative) {
            query.restriction.side = rollout_side::Base;
            server = m_context.balancer.startRequest(*m_servers, query);
        }
        if (server || m_record.eligibleServers == 0 || m_context.balancer.timeToFirstServer(*m_servers, queryFor(*m_fleet)) || now() + serverWaitInterval > waitEnd || m_caller.hasPeerDisconnected())
            return server;
        std::this_thread::sleep_for(serverWaitInterval);
    }
}

template <relay_protocol Protocol>
std::optional<chosen_server> relay_call<Protocol>::chooseKnownServer()
{
    for (int tried = 0; tried < maxUnconfirmedServers; ++tried) {
        auto chosen = chooseServer();
        if (!chosen || isProcessKnown(chosen->server))
            return chosen;
        releaseUnused(chosen->server, unidentifiedResult);
    }
    return std::nullopt;
}

template <relay_protocol Protocol>
void relay_call<Protocol>::releaseUnused(const listed_server& server, const char* result)
{
    m_peer.reset();
    m_context.balancer.recordPromptRequestEnded(server.id, affinity());
    m_context.balancer.finishRequest(server.id, server_outcome::Abandoned);
    m_slot.reset();
    recordAttempt(server, result);
}

/// Counts a request at a server for the time of its life.
class exchange_counter {
public:
    explicit exchange_counter(server_access_monitor<boottime_clock>& monitor)
        : m_monitor(monitor)
    {
        m_monitor.startExchange();
    }
    ~exchange_counter() { m_monitor.finishExchange(); }
    exchange_counter(const exchange_counter&) = delete;
    exchange_counter& operator=(const exchange_counter&) = delete;

private:
    server_access_monitor<boottime_clock>& m_monitor;
};

template <relay_protocol Protocol>
typename relay_call<Protocol>::attempt_result relay_call<Protocol>::attempt(const chosen_server& chosen)
{
    const listed_server& server = chosen.server;
    m_peer.reset();
    m_respondingServer = server.id;
    ++m_record.sends;
    m_record.prompt = nameOf(chosen.prompt);
    m_record.serverLoad = chosen.basis.load;
    m_record.meanLoad = chosen.basis.meanLoad;
    m_record.loadReportAge = chosen.basis.reportAge;
    m_record.candidates = chosen.basis.candidates;
    m_record.reportedCandidates = chosen.basis.reportedCandidates;
    const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(m_deadline - now());
    if (remaining.count() <= 0) {
        releaseUnused(server, "no_time");
        ++m_history.notRun;
        return attempt_result::Failed;
    }
    const dispatch_metadata dispatch {
        .server = server.id,
        .workspace = m_admitted.workspace ? m_admitted.workspace->id : workspace_id {},
        .timeLeft = remaining,
        .priority = m_admitted.priority(),
        .resumeAfter = m_eventSplitter.hasIds() ? std::optional { m_eventSplitter.lastId() } : std::nullopt,
        .cacheSource = chosen.cacheSource,
        .isModelRequest = !m_request.prompt.empty(),
    };
    server_exchange exchange { m_context.connections,
        { .server = server,
            .caller = m_caller,
            .deadline = m_deadline,
            .headDeadline = std::min(m_deadline, now() + responseTimeout()),
            .connectTimeout = connectTimeout,
            .maxSilence = maxSilence(),
            .maxIdleTime = isRepeatable(*m_admitted.target) ? duration { maxIdleTime } : duration { maxIdleTimeForNonRepeatable },
            .maxIdleConnections = maxIdleConnectionsToServer(),
            .access = &m_context.access.monitorOf(m_admitted.service),
            .isHeadOnly = m_message.head.method == "HEAD" } };
    const exchange_counter counter { m_context.access.monitorOf(m_admitted.service) };
    const std::string head = m_protocol.writeRequest(m_message.head, dispatch, m_message.body.size());
    response_metadata metadata; // Of the last response head received.
    const auto belongsToRequest = [&](const response_head& responseHead) {
        metadata = m_protocol.readResponse(responseHead);
        // Without an id, a response on a kept connection may be a repeated one to an earlier request.
        return metadata.requestId ? *metadata.requestId == m_request.id : !exchange.isReused() || m_request.id.empty();
    };
    ++m_contactedServers;
    m_context.rollouts.recordSend(server);
    m_attemptBegunAt = now();
    m_firstPartAt.reset();
    m_lastEventBeforeAttempt = m_eventSplitter.lastId();
    m_promptOrigin = chosen.prompt;
    exchange_state state = exchange.start(head, m_message.body, belongsToRequest);
    if (state == exchange_state::TimedOut && now() < m_deadline) {
        attempt_history withThisAttempt = m_history;
        ++withThisAttempt.mayHaveRun;
        m_isResendReserved = canResend(*m_admitted.target, withThisAttempt) && m_context.retries.tryConsume(m_admitted.service, m_fleet->knownSize());
        if (!m_isResendReserved)
            state = exchange.awaitHead(m_deadline);
    }
    return handleExchangeState(server, exchange, state, metadata);
}

template <relay_protocol Protocol>
typename relay_call<Protocol>::attempt_result relay_call<Protocol>::handleExchangeState(const listed_server& server, server_exchange& exchange, exchange_state state, const response_metadata& metadata)
{
    switch (state) {
    case exchange_state::Succeeded:
        return handleResponse(server, exchange, metadata);
    case exchange_state::NotSent:
        --m_contactedServers;
        if (now() < m_deadline) {
            m_context.access.recordConnectFailure(server);
            m_context.balancer.recordConnectFailure(server, m_attemptBegunAt);
        }
        if (m_context.crashes.hasAbandonedAt(server) && probe(server) == io_outcome::Broken)
            m_context.access.suspectCrash(server);
        return recordFailure(server, server_outcome::Unreachable, false, unreachableResult);
    case exchange_state::MayHaveRun:
        recordIfCrashed(server);
        return recordFailure(server, server_outcome::Failed, true, brokenResult(exchange));
    case exchange_state::TimedOut:
        recordAbandoned(server);
        return recordFailure(server, server_outcome::Failed, true, "silent");
    case exchange_state::CallerGone:
        break;
    }
    recordAbandoned(server);
    finishAttempt(server, server_outcome::Abandoned);
    recordAttempt(server, "caller_gone");
    return attempt_result::CallerGone;
}

} // namespace radishflow
