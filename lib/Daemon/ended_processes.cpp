// Implements the probes that prove that a process has ended.
#include "radishflow/Daemon/ended_processes.h"

#include <Poco/Net/NetException.h>
#include <Poco/Net/StreamSocket.h>

namespace radishflow {

// The kernel accepts connections for a stopped or swapped-out process, which keeps its listening socket. A host that
// is down or partitioned does not respond. Only a running host without the process refuses the connection.
static bool refusesConnections(const std::string& address)
{
    const Poco::Timespan timeout { 0, 200 * 1000 };
    try {
        Poco::Net::StreamSocket socket;
        socket.connect(Poco::Net::SocketAddress { address }, timeout);
        return false;
    } catch (const Poco::Net::ConnectionRefusedException&) {
        return true;
    } catch (const Poco::Exception&) {
        return false;
    }
}

bool ended_processes::hasEnded(const known_daemon& daemon) const
{
    const std::lock_guard lock { m_mutex };
    const auto ended = m_ended.find(daemon.id);
    return !daemon.isAlive && ended != m_ended.end() && ended->second == daemon.peer;
}

void ended_processes::probe(const std::vector<known_daemon>& daemons)
{
    for (const known_daemon& daemon : daemons) {
        if (daemon.isAlive || hasEnded(daemon))
            continue;
        if (!refusesConnections(daemon.peer))
            continue;
        const std::lock_guard lock { m_mutex };
        m_ended[daemon.id] = daemon.peer;
    }
}

} // namespace radishflow
