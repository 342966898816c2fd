// Declares the decision whether a request may be served, and by which route.
#pragma once

#include "radishflow/Relay/relayed_request.h"
#include "radishflow/Requests/refusal.h"
#include "radishflow/Routing/key_freshness.h"
#include "radishflow/Routing/route_table.h"

#include <memory>
#include <optional>

namespace radishflow {

/// Pointers stay valid as long as `routes` is held.
struct admitted_request {
    std::shared_ptr<const route_table> routes;
    const route* target = nullptr;
    const keyed_workspace* workspace = nullptr; ///< Null where the request needs no key.
    service_id service;
    std::optional<refusal> problem; ///< Set where the request is refused; nothing else is set then.

    int priority() const;
};

/// Refuses what no route or key allows, and what can't be told while the configuration isn't confirmed: unknown is
/// not "no", so those get a 503 and may come back.
admitted_request admit(const relayed_request&, std::shared_ptr<const route_table>, const key_freshness&, time_point now);

} // namespace radishflow
