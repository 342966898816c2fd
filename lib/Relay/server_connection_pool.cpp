// Implements the pool of idle connections to backend servers.
#include "radishflow/Relay/server_connection_pool.h"

#include <mutex>
#include <utility>

namespace radishflow {

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
        last.socket.close();
    }
    return std::nullopt;
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
