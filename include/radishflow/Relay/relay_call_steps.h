// Implements the part of relay_call that decides where a request goes.
#pragma once

#include "radishflow/Support/hashing.h"

#include <algorithm>
#include <chrono>
#include <thread>
#include <utility>

namespace radishflow {

// A connection that takes longer is one to a host that doesn't answer; within a region one takes a few milliseconds.
inline constexpr std::chrono::milliseconds connectTimeout { 300 };
// Idle time up to which a connection is used again. One that the server has just closed loses a request that can't
// be repeated, so those only take connections that were in use a moment ago.
inline constexpr std::chrono::seconds mostIdle { 30 };
inline constexpr std::chrono::milliseconds mostIdleForOneRun { 800 };
inline constexpr std::size_t mostKeptPerServer = 16; // Idle connections; a daemon rarely has more requests at one server.
// The part of the latency objective for which a request may wait for a server; the rest is left for the retry.
inline constexpr int waitPartOfObjective = 8;
inline constexpr std::chrono::milliseconds waitStep { 15 };
// Taken off the caller's deadline for the way back, so that the final answer still reaches it.
inline constexpr std::chrono::milliseconds wayBack { 10 };
// Time without a deadline of the caller or the route.
inline constexpr std::chrono::seconds defaultTimeout { 60 };
// Requests that begin later than this before the end of a stopping process go to another daemon.
inline constexpr std::chrono::milliseconds streamTimeBeforeStop { 5200 };
inline constexpr std::chrono::milliseconds callTimeBeforeStop { 1200 };
// Latency objectives for which a server may be silent before another one is tried. Streams wait longer, since a resend
// has the whole prompt read once more.
inline constexpr double callPatience = 1.5;
inline constexpr double streamPatience = 2.5;
// A live server accepts within a few milliseconds.
inline constexpr std::chrono::milliseconds crashProbeTimeout { 60 };
inline constexpr std::chrono::milliseconds stoppingRetryAfter { 20 };

template <relay_protocol Protocol>
relay_call<Protocol>::relay_call(const Protocol& protocol, const relay_parts& parts, relay_socket& caller, const caller_message& message, bool keepsOpen)
    : m_protocol(protocol)
    , m_parts(parts)
    , m_caller(caller)
    , m_message(message)
    , m_keepsOpen(keepsOpen)
    , m_request(protocol.readRequest(message.head))
    , m_admitted(admit(m_request, parts.routing.routes(), parts.freshness, now()))
    , m_servers(parts.routing.servers())
    , m_fleet(parts.routing.fleet())
{
    m_record.request = m_request.id;
    m_record.configAge = parts.freshness.age(now());
    m_record.fleetSize = m_fleet->size;
    if (!m_admitted.target)
        return;
    m_record.route = m_admitted.target->name;
    m_record.service = m_admitted.service;
    m_record.config = m_admitted.routes->version();
    if (m_admitted.workspace)
        m_record.workspace = m_admitted.workspace->id;
    m_deadline = message.receivedAt + defaultTimeout;
    if (m_admitted.target->timeout.count() > 0)
        m_deadline = message.receivedAt + m_admitted.target->timeout;
    if (m_request.timeLeft)
        m_deadline = std::min<time_point>(m_deadline, message.receivedAt + *m_request.timeLeft - wayBack);
}

template <relay_protocol Protocol>
bool relay_call<Protocol>::run()
{
    if (m_admitted.problem)
        return refuse(*m_admitted.problem);
    if (const auto problem = refusalWhileStopping())
        return refuse(*problem);
    if (m_admitted.target->kind == work_kind::Stream && m_message.head.minorVersion == 0)
        return refuse({ .status = 505, .title = "Streams need HTTP/1.1", .detail = "without chunks a stream that breaks looks like one that ends" });
    m_fingerprint = crash_guard::fingerprint(m_record.workspace, m_admitted.service, m_message.head.target, m_message.body);
    if (const auto problem = refusalOfCrashing())
        return refuse(*problem);
    if (!m_servers)
        return refuse(refusalAfter(m_history, false));
    m_parts.retries.countRequest(m_admitted.service);
    while (true) {
        const bool isResend = m_record.sends > 0;
        if (isResend && !std::exchange(m_hasResendGrant, false) && !tryResend())
            return giveUp();
        const auto server = chooseServer();
        if (m_caller.hasPeerLeft()) {
            if (server)
                m_parts.balancer.finishRequest(server->server.id, server_outcome::Abandoned);
            record(0, "caller_gone");
            return false;
        }
        if (!server)
            return giveUp();
        switch (attempt(*server)) {
        case attempt_end::Finished:
            return m_isAnswered;
        case attempt_end::CallerGone:
            record(0, "caller_gone");
            return false;
        case attempt_end::Failed:
            break;
        }
    }
}

// Tells a server that crashed from one whose answer was lost on the way.
template <relay_protocol Protocol>
bool relay_call<Protocol>::isListening(const listed_server& server)
{
    relay_socket probe;
    const bool isOpen = relay_socket::connect(server.address, now() + crashProbeTimeout, nullptr, probe) == io_outcome::Done;
    if (isOpen)
        probe.close();
    return isOpen;
}

template <relay_protocol Protocol>
std::optional<refusal> relay_call<Protocol>::refusalOfCrashing() const
{
    const auto remaining = m_fingerprint ? m_parts.crashes.quarantinedFor(*m_fingerprint) : std::nullopt;
    if (!remaining)
        return std::nullopt;
    return refusal { .status = 503, .title = "Request crashes servers", .detail = "two servers broke off when they ran it", .retryAfter = std::chrono::duration_cast<std::chrono::milliseconds>(*remaining) };
}

// A server's connections are shared by all daemons; idle ones take up half of them at most.
template <relay_protocol Protocol>
std::size_t relay_call<Protocol>::mostKeptConnections() const
{
    const service_policy* policy = m_admitted.routes->policyOf(m_admitted.service);
    if (!policy || policy->connectionLimit == 0)
        return mostKeptPerServer;
    const std::size_t share = static_cast<std::size_t>(policy->connectionLimit) / (2 * m_fleet->size);
    return std::clamp<std::size_t>(share, 1, mostKeptPerServer);
}

template <relay_protocol Protocol>
bool relay_call<Protocol>::tryResend()
{
    if (!maySendAgain(*m_admitted.target, m_history) || now() >= m_deadline)
        return false;
    // Only what reaches a server loads it, so a send that reached none is not paid for.
    return m_arrivals == 0 || m_parts.retries.tryConsume(m_admitted.service, m_fleet->size);
}

// How long a server may be silent before a request that can be repeated goes to another one.
template <relay_protocol Protocol>
duration relay_call<Protocol>::patience() const
{
    const double objectives = m_admitted.target->kind == work_kind::Stream ? streamPatience : callPatience;
    return std::chrono::duration_cast<duration>(m_admitted.target->objective * objectives);
}

// New work would be cut when the process ends; nothing of it was sent, so another daemon may serve it at once.
template <relay_protocol Protocol>
std::optional<refusal> relay_call<Protocol>::refusalWhileStopping() const
{
    if (!m_parts.stop.isStopping())
        return std::nullopt;
    const duration needed = m_admitted.target->kind == work_kind::Stream ? streamTimeBeforeStop : callTimeBeforeStop;
    if (m_parts.stop.end() - now() >= needed)
        return std::nullopt;
    return refusal { .status = 503, .title = "Stopping", .detail = "this daemon is stopping; another one serves", .retryAfter = stoppingRetryAfter };
}

template <relay_protocol Protocol>
std::uint64_t relay_call<Protocol>::affinity() const
{
    if (m_request.prompt.empty())
        return 0;
    // The last part is the request's own, so the one before it is the longest prefix that others share.
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
        .zone = m_parts.zone,
        .coldRequestsPerSecond = policy ? policy->coldRequestsPerSecond : 0,
        .excluded = m_history.servers,
        .fleet = &fleet,
    };
}

// Waits for a moment where every server is cold and has had its share.
template <relay_protocol Protocol>
std::optional<chosen_server> relay_call<Protocol>::chooseServer()
{
    const time_point waitEnd = std::min<time_point>(m_deadline, m_message.receivedAt + m_admitted.target->objective / waitPartOfObjective);
    while (true) {
        m_servers = m_parts.routing.servers();
        m_fleet = m_parts.routing.fleet();
        m_record.eligibleServers = m_servers->eligible(m_admitted.service).size();
        auto server = m_parts.balancer.startRequest(*m_servers, queryFor(*m_fleet));
        if (server || m_record.eligibleServers == 0 || now() + waitStep > waitEnd || m_caller.hasPeerLeft())
            return server;
        std::this_thread::sleep_for(waitStep);
    }
}

template <relay_protocol Protocol>
typename relay_call<Protocol>::attempt_end relay_call<Protocol>::attempt(const chosen_server& chosen)
{
    const listed_server& server = chosen.server;
    ++m_record.sends;
    m_record.prompt = nameOf(chosen.prompt);
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(m_deadline - now());
    if (left.count() <= 0) {
        m_parts.balancer.finishRequest(server.id, server_outcome::Abandoned);
        note(server, "no_time");
        ++m_history.notRun;
        return attempt_end::Failed;
    }
    const dispatch_facts facts {
        .server = server.id,
        .workspace = m_admitted.workspace ? m_admitted.workspace->id : workspace_id {},
        .timeLeft = left,
        .priority = m_admitted.priority(),
        .resumeAfter = m_events.hasNumbers() ? std::optional { m_events.last() } : std::nullopt,
        .cacheSource = chosen.cacheSource,
        .isModelRequest = !m_request.prompt.empty(),
    };
    server_exchange exchange { m_parts.connections,
        { .server = server,
            .caller = m_caller,
            .deadline = m_deadline,
            .headDeadline = std::min(m_deadline, now() + patience()),
            .connectTimeout = connectTimeout,
            .mostIdle = isRepeatable(*m_admitted.target) ? duration { mostIdle } : duration { mostIdleForOneRun },
            .mostKept = mostKeptConnections(),
            .isHeadOnly = m_message.head.method == "HEAD" } };
    const std::string head = m_protocol.writeRequest(m_message.head, facts, m_message.body.size());
    answer_facts answer; // Of the last head that came.
    const auto isForRequest = [&](const response_head& answerHead) {
        answer = m_protocol.readAnswer(answerHead);
        return !answer.answered || *answer.answered == m_request.id;
    };
    ++m_arrivals;
    exchange_state state = exchange.start(head, m_message.body, isForRequest);
    if (state == exchange_state::TimedOut && now() < m_deadline) {
        attempt_history withThis = m_history;
        ++withThis.mayHaveRun;
        m_hasResendGrant = maySendAgain(*m_admitted.target, withThis) && m_parts.retries.tryConsume(m_admitted.service, m_fleet->size);
        if (!m_hasResendGrant)
            state = exchange.awaitHead(m_deadline);
    }
    return judgeState(server, exchange, state, answer);
}

template <relay_protocol Protocol>
typename relay_call<Protocol>::attempt_end relay_call<Protocol>::judgeState(const listed_server& server, server_exchange& exchange, exchange_state state, const answer_facts& answer)
{
    switch (state) {
    case exchange_state::Answered:
        return judgeAnswer(server, exchange, answer);
    case exchange_state::NotSent:
        --m_arrivals;
        return fail(server, server_outcome::Unreachable, false, "unreachable");
    case exchange_state::MayHaveRun:
        if (m_fingerprint && !isListening(server))
            m_parts.crashes.noteBroken(*m_fingerprint, server.id);
        return fail(server, server_outcome::Failed, true, exchange.isReused() ? "broke_reused" : "broke");
    case exchange_state::TimedOut:
        return fail(server, server_outcome::Failed, true, "silent");
    case exchange_state::CallerGone:
        break;
    }
    m_parts.balancer.finishRequest(server.id, server_outcome::Abandoned);
    note(server, "caller_gone");
    return attempt_end::CallerGone;
}

} // namespace radishflow
