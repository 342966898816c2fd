// Implements the part of relay_call that identifies requests which crash backend servers.
#pragma once

#include <chrono>
#include <string>
#include <utility>

namespace radishflow {

// A running server accepts connections within a few milliseconds.
inline constexpr std::chrono::milliseconds crashProbeTimeout { 60 };
// A server that a request crashes ends within this time of the first part of its response.
inline constexpr std::chrono::seconds steadyProgressTime { 1 };

template <relay_protocol Protocol>
request_identity relay_call<Protocol>::identify() const
{
    request_identity identity { .content = crash_quarantine::fingerprint(m_record.workspace, m_message.head.target, m_message.body) };
    for (std::size_t part = 0; part + 1 < m_request.prompt.size(); ++part)
        identity.sharedParts.push_back(m_request.prompt[part].id);
    if (!m_message.body.empty())
        return identity;
    std::string variant = m_request.key;
    for (const prompt_part& part : m_request.prompt)
        variant += ' ' + std::to_string(part.id);
    identity.variant = crash_quarantine::fingerprint(m_record.workspace, m_message.head.target, variant);
    return identity;
}

template <relay_protocol Protocol>
void relay_call<Protocol>::recordIfCrashed(const listed_server& server)
{
    if (m_peer)
        return;
    recordAbandoned(server);
    if (probe(server) == io_outcome::Broken)
        suspectCrash(server);
}

template <relay_protocol Protocol>
void relay_call<Protocol>::suspectCrash(const listed_server& server)
{
    m_suspectedServer = server.id;
    ++m_suspectedCrashes;
    m_context.access.recordConnectFailure(server);
    m_context.balancer.recordConnectFailure(server, now());
    m_context.access.suspectCrash(server);
}

template <relay_protocol Protocol>
void relay_call<Protocol>::awaitCrashDecision()
{
    const server_id server = std::exchange(m_suspectedServer, {});
    if (!server.empty() && (m_suspectedCrashes > 1 || m_context.crashes.isSuspect(m_identity)))
        m_context.access.awaitCrashDecision(server);
}

template <relay_protocol Protocol>
void relay_call<Protocol>::recordAbandoned(const listed_server& server)
{
    if (!m_peer)
        m_context.crashes.recordAbandoned(m_identity, server, progress());
}

template <relay_protocol Protocol>
void relay_call<Protocol>::recordProgress(const server_exchange& exchange)
{
    constexpr int firstUnsuccessfulStatus = 300; // The server may have failed or refused the request before it read the prompt.
    m_lastPartAt = now();
    if (m_firstPartAt)
        return;
    m_firstPartAt = m_lastPartAt;
    if (!m_peer && exchange.head().status < firstUnsuccessfulStatus)
        m_context.balancer.recordPromptRead(m_respondingServer, affinity());
}

// The time until the connection broke does not count: a server may hang before it crashes.
template <relay_protocol Protocol>
response_progress relay_call<Protocol>::progress() const
{
    return m_firstPartAt && m_lastPartAt - *m_firstPartAt >= steadyProgressTime ? response_progress::Steady : response_progress::None;
}

template <relay_protocol Protocol>
void relay_call<Protocol>::recordLeaving(const listed_server& server)
{
    m_context.balancer.recordLeaving(server);
    m_context.crashes.recordLeaving(server);
}

// Distinguishes a crashed server, whose host refuses the connection, from one whose response was lost in the network and from a
// host without power.
template <relay_protocol Protocol>
io_outcome relay_call<Protocol>::probe(const listed_server& server)
{
    relay_socket connection;
    const io_outcome outcome = relay_socket::connect(server.address, now() + crashProbeTimeout, nullptr, connection);
    if (outcome == io_outcome::Done)
        connection.close();
    return outcome;
}

template <relay_protocol Protocol>
std::optional<refusal> relay_call<Protocol>::refusalForQuarantine() const
{
    const auto remaining = m_context.crashes.remainingQuarantine(m_identity);
    if (remaining)
        return refusal { .status = 503, .title = "Request crashes servers", .detail = "two servers broke off when they ran it", .retryAfter = std::chrono::duration_cast<std::chrono::milliseconds>(*remaining) };
    if (!m_context.crashes.hasQuarantinedParts(m_identity))
        return std::nullopt;
    return refusal { .status = 503, .title = "Prompt part crashes servers", .detail = "several servers broke off when they ran requests with a part of this prompt", .retryAfter = std::chrono::duration_cast<std::chrono::milliseconds>(crash_quarantine::retention) };
}

} // namespace radishflow
