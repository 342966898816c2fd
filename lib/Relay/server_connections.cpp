// Implements the pool of idle connections.
#include "radishflow/Relay/server_connections.h"

#include <mutex>
#include <utility>

namespace radishflow {

std::optional<relay_socket> server_connections::take(const server_id& server, time_point now, duration mostIdle)
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
        if (last.until > now && now - last.since < mostIdle && last.socket.isQuiet())
            return std::move(last.socket);
        last.socket.close();
    }
    return std::nullopt;
}

void server_connections::put(const server_id& server, relay_socket socket, time_point now, duration lifetime, std::size_t mostToServer)
{
    socket.shrink();
    const std::lock_guard lock { m_mutex };
    std::vector<idle_connection>& idle = m_idle[server];
    if (idle.size() >= mostToServer || m_count >= mostKept) {
        socket.close();
        return;
    }
    ++m_count;
    idle.push_back({ .socket = std::move(socket), .since = now, .until = now + lifetime });
}

void server_connections::prune(time_point now)
{
    const std::lock_guard lock { m_mutex };
    for (auto& [server, idle] : m_idle) {
        std::erase_if(idle, [&](idle_connection& each) {
            if (each.until > now)
                return false;
            each.socket.close();
            --m_count;
            return true;
        });
    }
    std::erase_if(m_idle, [](const auto& entry) { return entry.second.empty(); });
}

void server_connections::drop(const server_id& server)
{
    const std::lock_guard lock { m_mutex };
    const auto found = m_idle.find(server);
    if (found == m_idle.end())
        return;
    for (idle_connection& each : found->second)
        each.socket.close();
    m_count -= found->second.size();
    m_idle.erase(found);
}

} // namespace radishflow
