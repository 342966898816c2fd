// Declares what a daemon writes to claim a free server or to take one over.
#pragma once

#include "radishflow/Terms/fleet_view.h"
#include "radishflow/Terms/safety_rules.h"
#include "radishflow/Terms/terms_rows.h"

#include <optional>
#include <vector>

namespace radishflow {

/// Who wants a server, and the revision of its own renewal row.
struct takeover_request {
    server_id server;
    daemon_id self;
    incarnation_number incarnation;
    std::int64_t ownRevision = 0;
};

/// One commit: the new ownership row, what must hold, and the mark on the former holder's renewal row.
struct takeover_plan {
    ownership_row row;
    std::vector<row_condition> conditions;
    std::vector<row_write> furtherWrites;
};

/// Returns nothing while another daemon holds the server. Null pointers mean that there is no such row.
std::optional<takeover_plan> planTakeover(const takeover_request&, const observed_ownership* known,
    const observed_renewal* former, bool isFormerLapsed, const safety_rules&);

/// Returns whether a former holder is known to send nothing more under the incarnation of its share.
bool sendsNoMore(const residual_share&, const observed_renewal*, const fleet_view&);

} // namespace radishflow
