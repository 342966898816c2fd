// Implements the shared fleet snapshot.
#include "radishflow/Daemon/fleet_directory.h"

#include <mutex>
#include <utility>

namespace radishflow {

std::shared_ptr<const fleet_snapshot> fleet_directory::current() const
{
    const std::lock_guard lock { m_mutex };
    return m_current;
}

void fleet_directory::replace(fleet_snapshot snapshot)
{
    auto next = std::make_shared<const fleet_snapshot>(std::move(snapshot));
    const std::lock_guard lock { m_mutex };
    m_current.swap(next);
}

} // namespace radishflow
