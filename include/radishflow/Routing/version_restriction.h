// Declares version_restriction, which keeps a request to servers of some versions of a service's software while a roll-out runs.
#pragma once

#include "radishflow/Routing/listed_server.h"
#include "radishflow/Routing/stream_origin.h"

#include <memory>
#include <optional>
#include <set>

namespace radishflow {

enum class rollout_side {
    Any,
    Base, ///< Servers of all versions but the target.
    Target,
};

struct version_restriction {
    rollout_side side = rollout_side::Any;
    bool hasAlternative = false; ///< Servers of either side may serve the request; the target's only get a share of them.
    version_key target; ///< Only used if the side is not Any.
    std::optional<time_point> endedAt; ///< Servers of the target that were listed after it do not belong to the order; only used if the side is Base.
    std::shared_ptr<const std::set<server_id>> trialServers; ///< The only servers of the target that serve its trial; null for all.
    std::set<version_key> withheldVersions; ///< Versions that an order which this daemon has not read yet may name as its target, or an earlier one named.

    bool admits(const listed_server& server) const
    {
        if (side == rollout_side::Any && withheldVersions.empty())
            return true;
        const version_key version = versionKeyOf(server.service, server.version);
        if (side == rollout_side::Any)
            return !withheldVersions.contains(version);
        if (side == rollout_side::Base)
            return version != target ? !withheldVersions.contains(version) : endedAt && server.listedAt > *endedAt;
        return version == target && (!trialServers || trialServers->contains(server.id));
    }
};

} // namespace radishflow
