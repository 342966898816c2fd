// Implements the shared ownership of servers.
#include "radishflow/Daemon/ownership_keeper.h"

namespace radishflow {

void ownership_keeper::step(const fleet_view& fleet)
{
    const std::lock_guard lock { m_mutex };
    m_ownership.step(m_table, fleet);
}

permit ownership_keeper::admit(const server_id& server, int limit)
{
    const std::lock_guard lock { m_mutex };
    return m_ownership.admit(server, limit);
}

void ownership_keeper::started(const server_id& server, term_number term)
{
    const std::lock_guard lock { m_mutex };
    m_ownership.recordStarted(server, term);
}

void ownership_keeper::finished(const server_id& server, term_number term)
{
    const std::lock_guard lock { m_mutex };
    m_ownership.recordFinished(server, term);
}

void ownership_keeper::acceptReport(const server_id& server, const load_report& report)
{
    const std::lock_guard lock { m_mutex };
    m_ownership.acceptReport(server, report);
}

std::optional<daemon_id> ownership_keeper::ownerOf(const server_id& server) const
{
    const std::lock_guard lock { m_mutex };
    return m_ownership.ownerOf(server);
}

std::vector<server_id> ownership_keeper::ownedServers() const
{
    const std::lock_guard lock { m_mutex };
    return m_ownership.ownedServers();
}

term_phase ownership_keeper::phase() const
{
    const std::lock_guard lock { m_mutex };
    return m_ownership.phase();
}

incarnation_number ownership_keeper::incarnation() const
{
    const std::lock_guard lock { m_mutex };
    return m_ownership.incarnation();
}

void ownership_keeper::beginStop()
{
    const std::lock_guard lock { m_mutex };
    m_ownership.beginStop();
}

bool ownership_keeper::isStopped() const
{
    const std::lock_guard lock { m_mutex };
    return m_ownership.isStopped();
}

} // namespace radishflow
