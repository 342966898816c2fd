// Declares forwarding_settings, what a daemon needs to forward requests to other daemons and to serve theirs.
#pragma once

#include "radishflow/Support/ids.h"

#include <functional>
#include <string>

namespace radishflow {

/// The functions are thread-safe.
struct forwarding_settings {
    daemon_id daemon; ///< This daemon.
    std::string token; ///< Published by gossip; proves to other daemons that a request comes from this one.
    std::function<bool(const daemon_id&, const std::string& token)> isKnownToken; ///< Returns whether a daemon has sent the token to this one, before it arrived by gossip; null if none does.
    std::string port; ///< ":port" at which all daemons accept forwarded requests.
    std::function<bool()> hasCapacity; ///< Returns whether enough workers are free for this daemon's own callers.
};

} // namespace radishflow
