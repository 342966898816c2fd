// Declares what the tests of a store that lost writes share.
#pragma once

#include "relay_fleet.h"

#include <chrono>
#include <string>

namespace radishflow {

constexpr std::chrono::milliseconds revocationDelay { 5000 }; ///< As on the users' deployments.

/// Returns whether all daemons respond to a request with the key with the status.
inline bool allAnswer(relay_fleet& fleet, const std::string& key, int status)
{
    for (int daemon = 0; daemon < fleet.daemons(); ++daemon) {
        if (fleet.call(daemon, "/read/a", "GET", key).status != status)
            return false;
    }
    return true;
}

/// Writes rows of the operator's table that mean nothing to daemons.
inline void writeRows(relay_fleet& fleet, int count)
{
    for (int row = 0; row < count; ++row)
        fleet.store().put("op", "other/" + std::to_string(row), "{}");
}

} // namespace radishflow
