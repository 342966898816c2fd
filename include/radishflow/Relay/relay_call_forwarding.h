// Implements the part of relay_call that forwards requests to other daemons and serves theirs.
#pragma once

#include "radishflow/Support/hashing.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace radishflow {

// Daemons that a request is forwarded to one after the other.
inline constexpr std::size_t maxPeers = 3;
// A daemon that serves a forwarded request may resend it after the response timeout, so the forwarding daemon waits longer.
inline constexpr int peerTimeoutFactor = 2;
inline constexpr std::size_t maxIdlePerPeer = 32;
// When callers return if this daemon takes no forwarded requests now.
inline constexpr std::chrono::milliseconds forwardedRetryAfter { 250 };

template <relay_protocol Protocol>
std::string relay_call<Protocol>::forwardedFields() const
{
    return m_forwarded ? writeForwardedFields({ .request = m_request.id, .server = m_respondingServer, .version = m_version }) : std::string {};
}

template <relay_protocol Protocol>
refusal relay_call<Protocol>::refusalToPeer(const char* detail)
{
    return { .status = 503, .title = "No server available", .detail = detail, .retryAfter = forwardedRetryAfter };
}

template <relay_protocol Protocol>
std::optional<bool> relay_call<Protocol>::refuseForwarded()
{
    if (m_context.access.monitorOf(m_admitted.service).state() == server_access_state::Unavailable)
        return refuse(refusalToPeer("this daemon reaches no backend server either"), refusal_scope::Access);
    if (!m_context.forwarding.hasCapacity())
        return refuse(refusalToPeer("this daemon serves its own callers first"), refusal_scope::Capacity);
    if (!mayRunAgain(*m_admitted.target, m_history))
        return refuse({ .status = 502, .title = "Backend server failed", .detail = "the request may have run", .execution = execution_state::Unknown });
    return std::nullopt;
}

template <relay_protocol Protocol>
bool relay_call<Protocol>::canForward()
{
    return !m_forwarded && m_triedPeers.size() < maxPeers && mayRunAgain(*m_admitted.target, m_history) && m_context.access.awaitDecision(m_admitted.service, [this] { return now() >= m_deadline || m_caller.hasPeerDisconnected(); });
}

template <relay_protocol Protocol>
std::optional<typename relay_call<Protocol>::attempt_result> relay_call<Protocol>::attemptAtPeer()
{
    const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(m_deadline - now());
    if (remaining.count() <= 0 || m_triedPeers.size() >= maxPeers || !mayRunAgain(*m_admitted.target, m_history))
        return std::nullopt;
    m_fleet = m_context.routing.fleet();
    m_peer = m_context.access.peers().choose(*m_fleet, serviceHashOf(m_admitted.service), m_context.access.monitorOf(m_admitted.service).doubtBeganAt(), m_triedPeers, stableHash(m_request.id.value(), std::to_string(m_attempts)));
    if (!m_peer)
        return std::nullopt;
    return attemptAt(*m_peer);
}

template <relay_protocol Protocol>
typename relay_call<Protocol>::attempt_result relay_call<Protocol>::attemptAt(const fleet_daemon& peer)
{
    m_peer = peer;
    const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(m_deadline - now());
    m_triedPeers.push_back(peer.id);
    m_record.forwardedTo = peer.id;
    m_respondingServer = {};
    const std::string host = peer.callerAddress.substr(0, peer.callerAddress.find(':'));
    const listed_server target { .id = server_id { "daemon " + peer.id.value() }, .address = host + m_context.forwarding.port };
    const std::string head = writeForwardedHead(m_message.head, m_message.body.size(),
        { .from = m_context.forwarding.daemon,
            .token = m_context.forwarding.token,
            .config = m_record.config,
            .timeLeft = remaining,
            .mayHaveRun = m_history.mayHaveRun,
            .triedServers = m_history.contactedServers,
            .resumeAfter = m_eventSplitter.hasIds() ? std::optional { m_eventSplitter.lastId() } : std::nullopt,
            .version = m_version });
    server_exchange exchange { m_context.connections,
        { .server = target,
            .caller = m_caller,
            .deadline = m_deadline,
            .headDeadline = isRepeatable(*m_admitted.target) ? std::min(m_deadline, now() + peerTimeoutFactor * responseTimeout()) : m_deadline,
            .connectTimeout = connectTimeout,
            .maxSilence = maxSilence(),
            .maxIdleTime = isRepeatable(*m_admitted.target) ? duration { maxIdleTime } : duration { maxIdleTimeForNonRepeatable },
            .maxIdleConnections = maxIdlePerPeer,
            .isHeadOnly = m_message.head.method == "HEAD" } };
    const exchange_state state = exchange.start(head, m_message.body, [this](const response_head& response) {
        const request_id request = readForwardedResponse(response.fields).request;
        return request.empty() || request == m_request.id; });
    return handlePeerState(peer, target, exchange, state);
}

template <relay_protocol Protocol>
typename relay_call<Protocol>::attempt_result relay_call<Protocol>::handlePeerState(const fleet_daemon& peer, const listed_server& target, server_exchange& exchange, exchange_state state)
{
    switch (state) {
    case exchange_state::Succeeded:
        ++m_contactedServers;
        return handlePeerResponse(peer, target, exchange);
    case exchange_state::NotSent:
        return recordPeerFailure(peer, peer_outcome::Failed, false, "unreachable");
    case exchange_state::MayHaveRun:
        ++m_contactedServers;
        return recordPeerFailure(peer, peer_outcome::Failed, true, brokenResult(exchange));
    case exchange_state::TimedOut:
        ++m_contactedServers;
        return recordPeerFailure(peer, peer_outcome::Failed, true, "silent");
    case exchange_state::CallerGone:
        break;
    }
    finishAttempt(target, server_outcome::Abandoned);
    recordAttempt(target, "caller_gone");
    return attempt_result::CallerGone;
}

template <relay_protocol Protocol>
typename relay_call<Protocol>::attempt_result relay_call<Protocol>::handlePeerResponse(const fleet_daemon& peer, const listed_server& target, server_exchange& exchange)
{
    constexpr int firstServerError = 500;
    constexpr int serviceUnavailable = 503;
    const forwarded_response facts = readForwardedResponse(exchange.head().fields);
    const response_metadata metadata = m_protocol.readResponse(exchange.head());
    m_respondingServer = facts.server;
    if (facts.version)
        m_version = facts.version;
    if (!facts.server.empty())
        applyServerStatements(facts.server, metadata);
    if (facts.server.empty() && !facts.execution)
        return recordPeerFailure(peer, peer_outcome::Failed, true, "unreadable");
    const bool isNotRun = facts.execution == execution_state::NotRun;
    if (isNotRun && exchange.head().status == serviceUnavailable && facts.scope != refusal_scope::Request) {
        --m_contactedServers;
        m_peerRetryAfter = metadata.retryAfter.value_or(forwardedRetryAfter);
        m_wasRefusedSlot = m_wasRefusedSlot || facts.scope == refusal_scope::Slots;
        exchange.releaseConnection();
        return recordPeerFailure(peer, facts.scope == refusal_scope::Access ? peer_outcome::Failed : peer_outcome::Refused, false, "not_run");
    }
    if (!facts.execution && m_hasResponseStarted && !continuesStream(exchange.head(), metadata))
        return recordPeerFailure(peer, peer_outcome::Served, true, notAStreamResult);
    if (!facts.execution && exchange.head().status < firstServerError)
        return metadata.isEventStream ? forwardEvents(target, exchange) : forwardResponse(target, exchange);
    // The other daemon has used the attempts that the request has, or refuses it for a reason that holds at any daemon.
    server_error_response failure { .head = exchange.head(), .body = { .bytes = {}, .memory = reserveFor(target) } };
    if (readWholeBody(exchange, failure.body) != body_read_result::Complete)
        return recordPeerFailure(peer, peer_outcome::Failed, !isNotRun, "broke_off");
    exchange.releaseConnection();
    failure.outcome = isNotRun ? "refused" : "server_error";
    m_serverError = std::move(failure);
    m_isFinal = true;
    return recordPeerFailure(peer, peer_outcome::Served, !isNotRun, isNotRun ? "refused" : "failed");
}

template <relay_protocol Protocol>
typename relay_call<Protocol>::attempt_result relay_call<Protocol>::recordPeerFailure(const fleet_daemon& peer, peer_outcome outcome, bool mayHaveRun, const char* result)
{
    m_context.access.peers().finish(peer, outcome);
    recordAttempt({}, result);
    if (mayHaveRun)
        ++m_history.mayHaveRun;
    return attempt_result::Failed;
}

// Later requests of this daemon to the server have to respect them as well.
template <relay_protocol Protocol>
void relay_call<Protocol>::applyServerStatements(const server_id& id, const response_metadata& metadata)
{
    const auto servers = m_context.routing.servers();
    const auto server = servers->servers.find(id);
    if (server == servers->servers.end())
        return;
    if (metadata.isLeaving)
        recordLeaving(server->second);
    m_context.balancer.recordLimit(server->second, metadata.requestsPerSecond);
}

template <relay_protocol Protocol>
void relay_call<Protocol>::finishAttempt(const listed_server& server, server_outcome outcome)
{
    if (!m_peer) {
        m_context.balancer.recordPromptRequestEnded(server.id, affinity());
        m_context.balancer.finishRequest(server.id, outcome, now() - m_attemptBegunAt);
        m_slot.reset();
        return;
    }
    m_context.access.peers().finish(*m_peer, outcome == server_outcome::Failed ? peer_outcome::Refused : peer_outcome::Served);
}

} // namespace radishflow
