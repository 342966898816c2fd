// Declares member_liveness, which checks whether the holder of a claim is still running.
#pragma once

#include "radishflow/Gossip/gossip_transport.h"
#include "radishflow/Support/ids.h"

namespace radishflow {

/// Record by which a daemon publishes the incarnation of its process.
inline constexpr const char* processRecord = "process";

/// Compares process incarnations, because the gossip's own incarnation also increases without a restart.
class member_liveness {
public:
    explicit member_liveness(const gossip_transport& gossip)
        : m_gossip(&gossip)
    {
    }

    bool operator()(const daemon_id&, incarnation_number) const;

private:
    const gossip_transport* m_gossip;
};

} // namespace radishflow
