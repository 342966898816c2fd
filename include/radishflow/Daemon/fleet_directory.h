// Declares fleet_directory, the fleet snapshot that all workers read.
#pragma once

#include "radishflow/Daemon/fleet_snapshot.h"
#include "radishflow/Support/ranked_mutex.h"

#include <memory>

namespace radishflow {

/// Holds the newest snapshot. Thread-safe; rank Membership.
class fleet_directory {
public:
    std::shared_ptr<const fleet_snapshot> current() const;
    void replace(fleet_snapshot);

private:
    mutable ranked_mutex m_mutex { lock_rank::Membership };
    std::shared_ptr<const fleet_snapshot> m_current = std::make_shared<fleet_snapshot>();
};

} // namespace radishflow
