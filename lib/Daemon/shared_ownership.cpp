// Implements the shared ownership of servers.
#include "radishflow/Daemon/shared_ownership.h"

namespace radishflow {

void shared_ownership::step(const fleet_view& fleet)
{
    const std::lock_guard lock { m_mutex };
    m_ownership.step(m_table, fleet);
}

permit shared_ownership::admit(const server_id& server, int limit)
{
    const std::lock_guard lock { m_mutex };
    return m_ownership.admit(server, limit);
}

void shared_ownership::recordStarted(const server_id& server, term_number term)
{
    const std::lock_guard lock { m_mutex };
    m_ownership.recordStarted(server, term);
}

void shared_ownership::recordFinished(const server_id& server, term_number term)
{
    const std::lock_guard lock { m_mutex };
    m_ownership.recordFinished(server, term);
}

void shared_ownership::acceptReport(const server_id& server, const load_report& report)
{
    const std::lock_guard lock { m_mutex };
    m_ownership.acceptReport(server, report);
}

std::optional<daemon_id> shared_ownership::ownerOf(const server_id& server) const
{
    const std::lock_guard lock { m_mutex };
    return m_ownership.ownerOf(server);
}

std::vector<server_id> shared_ownership::ownedServers() const
{
    const std::lock_guard lock { m_mutex };
    return m_ownership.ownedServers();
}

term_phase shared_ownership::phase() const
{
    const std::lock_guard lock { m_mutex };
    return m_ownership.phase();
}

incarnation_number shared_ownership::incarnation() const
{
    const std::lock_guard lock { m_mutex };
    return m_ownership.incarnation();
}

void shared_ownership::beginStop()
{
    const std::lock_guard lock { m_mutex };
    m_ownership.beginStop();
}

bool shared_ownership::isStopped() const
{
    const std::lock_guard lock { m_mutex };
    return m_ownership.isStopped();
}

} // namespace radishflow
