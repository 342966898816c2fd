// Declares the commit by which a daemon claims a free server or takes one over.
#pragma once

#include "radishflow/Terms/fleet_view.h"
#include "radishflow/Terms/replicated_rows.h"
#include "radishflow/Terms/safety_rules.h"

#include <optional>
#include <vector>

namespace radishflow {

/// The claiming daemon, and the revision of its renewal row.
struct takeover_request {
    server_id server;
    daemon_id self;
    incarnation_number incarnation;
    std::int64_t ownRevision = 0;
};

/// One commit: the new ownership row, the conditions, and the former holder's renewal row marked as lapsed.
struct takeover_plan {
    ownership_row row;
    std::vector<row_condition> conditions;
    std::vector<row_write> furtherWrites;
};

/// Returns nothing while another daemon holds the server. Null pointers stand for rows that do not exist.
std::optional<takeover_plan> planTakeover(const takeover_request&, const observed_ownership* known,
    const observed_renewal* former, bool isFormerLapsed, const safety_rules&);

/// Returns whether a former holder is known to send nothing more under the incarnation of its share.
bool hasStoppedSending(const residual_share&, const observed_renewal*, const fleet_view&);

} // namespace radishflow
