// Declares admit, which decides whether a request may be served, and by which route.
#pragma once

#include "radishflow/Relay/relayed_request.h"
#include "radishflow/Requests/refusal.h"
#include "radishflow/Routing/key_freshness.h"
#include "radishflow/Routing/route_table.h"

#include <memory>
#include <optional>

namespace radishflow {

/// The pointers are valid as long as `routes` is held.
struct admitted_request {
    std::shared_ptr<const route_table> routes; ///< Null while no configuration is known.
    const route* target = nullptr;
    const keyed_workspace* workspace = nullptr; ///< Null if the request needs no key.
    service_id service;
    std::optional<refusal> problem; ///< Reason of the refusal; if set, only `routes` may be set too.

    /// Returns the priority of the workspace, or else of the route; 0 is the most urgent.
    int priority() const;
};

/// Finds the route, workspace and service of a request. Refuses it with 404 or 401 if the configuration has no route or key
/// for it. While the configuration is missing or not confirmed as current, a route or key may have been added or removed
/// unseen; requests that depend on that are refused with 503 and Retry-After instead.
admitted_request admit(const relayed_request&, std::shared_ptr<const route_table>, const key_freshness&, time_point now);

} // namespace radishflow
