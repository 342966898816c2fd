// Implements the pool of idle connections to backend servers.
#include "radishflow/Relay/server_connection_pool.h"

#include <chrono>
#include <mutex>
#include <utility>

namespace radishflow {

// The platform lists a server that has restarted anew within this time, unless it is cut off for longer.
static constexpr std::chrono::seconds breakMemory { 60 };

std::optional<relay_socket> server_connection_pool::acquire(const server_id& server, time_point now, duration maxIdleTime)
{
    const std::lock_guard lock { m_mutex };
    const auto found = m_idle.find(server);
    if (found == m_idle.end())
        return std::nullopt;
    std::vector<idle_connection>& idle = found->second;
    while (!idle.empty()) {
        idle_connection last = std::move(idle.back());
        idle.pop_back();
        --m_count;
        if (last.expiresAt > now && now - last.idleSince < maxIdleTime && last.socket.isIdle())
            return std::move(last.socket);
        discard(server, last, now);
    }
    return std::nullopt;
}

void server_connection_pool::discard(const server_id& server, idle_connection& connection, time_point now)
{
    if (connection.expiresAt > now && !connection.socket.isIdle())
        m_brokenAt[server] = now;
    connection.socket.close();
}

bool server_connection_pool::takeBroken(const server_id& server, time_point now)
{
    const std::lock_guard lock { m_mutex };
    if (const auto found = m_idle.find(server); found != m_idle.end()) {
        m_count -= std::erase_if(found->second, [&](idle_connection& connection) {
            if (connection.socket.isIdle())
                return false;
            discard(server, connection, now);
            return true;
        });
    }
    return m_brokenAt.erase(server) > 0;
}

void server_connection_pool::release(const server_id& server, relay_socket socket, time_point now, duration lifetime, std::size_t maxToServer)
{
    socket.releaseSpareMemory();
    // An idle connection to a host without power must fail before it is reused.
    socket.setMaxSilence(maxSilenceIfRepeatable);
    const std::lock_guard lock { m_mutex };
    std::vector<idle_connection>& idle = m_idle[server];
    if (idle.size() >= maxToServer || m_count >= maxIdleConnections) {
        socket.close();
        return;
    }
    ++m_count;
    idle.push_back({ .socket = std::move(socket), .idleSince = now, .expiresAt = now + lifetime });
}

void server_connection_pool::prune(time_point now)
{
    const std::lock_guard lock { m_mutex };
    for (auto& [server, idle] : m_idle) {
        std::erase_if(idle, [&](idle_connection& connection) {
            if (connection.expiresAt > now)
                return false;
            connection.socket.close();
            --m_count;
            return true;
        });
    }
    std::erase_if(m_idle, [](const auto& entry) { return entry.second.empty(); });
    std::erase_if(m_brokenAt, [&](const auto& entry) { return now - entry.second > breakMemory; });
}

void server_connection_pool::closeAll(const server_id& server)
{
    const std::lock_guard lock { m_mutex };
    const auto found = m_idle.find(server);
    if (found == m_idle.end())
        return;
    for (idle_connection& connection : found->second)
        connection.socket.close();
    m_count -= found->second.size();
    m_idle.erase(found);
}

} // namespace radishflow
