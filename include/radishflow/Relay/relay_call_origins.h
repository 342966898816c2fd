// Implements the part of relay_call that keeps resumed streams at the version at which they began.
#pragma once

#include <algorithm>
#include <chrono>

namespace radishflow {

// Another daemon may know the origin of a stream, or reach one that does.
inline constexpr std::chrono::milliseconds unknownOriginRetryAfter { 250 };

// Events of two versions do not fit together, and servers do not check it.
template <relay_protocol Protocol>
std::optional<refusal> relay_call<Protocol>::refusalForUnknownOrigin()
{
    if (!m_admitted.target->isResumable || !resumesStream())
        return std::nullopt;
    if (!m_version)
        m_version = m_context.origins.find(m_admitted.service, m_request.resumes);
    if (m_version) {
        selectServiceOfOrigin();
        return std::nullopt;
    }
    return refusal { .status = 503, .title = "Origin of the stream is unknown", .detail = "no daemon in reach knows which version of the backend servers began the stream", .retryAfter = unknownOriginRetryAfter };
}

// The route may be split, and its weights may have changed since the stream began.
template <relay_protocol Protocol>
void relay_call<Protocol>::selectServiceOfOrigin()
{
    for (const weighted_service& target : m_admitted.target->targets) {
        const auto servers = m_servers->serversOf(target.service);
        if (std::none_of(servers.begin(), servers.end(), [this](const listed_server* server) { return versionKeyOf(server->service, server->version) == *m_version; }))
            continue;
        m_admitted.service = target.service;
        m_record.service = target.service;
        return;
    }
}

// The entry of a server that has restarted behind a cut from the platform names its former process and version. Servers without requests
// restart unnoticed, so a stream that has begun asks the server before it goes on there.
template <relay_protocol Protocol>
bool relay_call<Protocol>::isProcessKnown(const listed_server& server)
{
    if (!m_admitted.target->isResumable)
        return true;
    const bool hasBroken = m_context.connections.takeBroken(server.id, now());
    if (hasBroken)
        m_context.balancer.recordConnectFailure(server, now());
    return (!m_version && !hasBroken) || m_context.confirmsProcess(server);
}

template <relay_protocol Protocol>
void relay_call<Protocol>::recordOrigin(const listed_server& server)
{
    // The daemon that sent the request to the server publishes the origin.
    if (!m_admitted.target->isResumable || m_peer)
        return;
    if (!m_version)
        m_version = versionKeyOf(server.service, server.version);
    m_context.origins.publish({ .stream = streamKeyOf(m_request.resumes.empty() ? m_request.id : m_request.resumes), .version = *m_version });
}

} // namespace radishflow
