// Implements takeovers. The commit has conditions on the ownership row, on the former holder's renewal row and on the
// claiming daemon's renewal row, so neither a delayed renewal nor a delayed takeover can succeed as well.
#include "radishflow/Terms/takeover.h"

#include <algorithm>

namespace radishflow {

static bool isFree(const ownership_row& row, const observed_renewal* former, bool isFormerLapsed)
{
    return row.isReleased || !former || former->row.incarnation != row.incarnation || isFormerLapsed;
}

static void addFormerHolder(takeover_plan& plan, const takeover_request& request, const ownership_row& row,
    const observed_renewal* former)
{
    plan.row.formerHolders.push_back({ .daemon = row.daemon, .incarnation = row.incarnation, .term = row.term });
    if (row.daemon == request.self)
        return;
    plan.conditions.push_back({ .key = renewalKey(row.daemon), .modRevision = former ? former->revision : 0 });
    if (!former || former->row.incarnation != row.incarnation || former->row.state != renewal_state::Live)
        return;
    renewal_row mark = former->row;
    mark.state = renewal_state::Lapsed;
    plan.furtherWrites.push_back({ .key = renewalKey(row.daemon), .value = format(mark) });
}

std::optional<takeover_plan> planTakeover(const takeover_request& request, const observed_ownership* known,
    const observed_renewal* former, bool isFormerLapsed, const safety_rules& rules)
{
    if (known && !isFree(known->row, former, isFormerLapsed))
        return std::nullopt;
    takeover_plan plan;
    plan.row = { .daemon = request.self, .incarnation = request.incarnation, .term = term_number { 1 } };
    plan.conditions.push_back({ .key = ownershipKey(request.server), .modRevision = known ? known->revision : 0 });
    plan.conditions.push_back({ .key = renewalKey(request.self), .modRevision = request.ownRevision });
    if (!known)
        return plan;
    plan.row.term = known->row.term.next();
    plan.row.formerHolders = known->row.formerHolders;
    if (known->row.isReleased)
        return plan;
    addFormerHolder(plan, request, known->row, former);
    if (!rules.markFormerHolder) {
        plan.conditions.resize(2);
        plan.furtherWrites.clear();
    }
    return plan;
}

bool hasStoppedSending(const residual_share& share, const observed_renewal* renewal, const fleet_view& fleet)
{
    // A daemon registers a new incarnation only after the windows of its old one are empty or its process has ended.
    if (renewal && renewal->row.incarnation > share.incarnation)
        return true;
    if (renewal && renewal->row.incarnation == share.incarnation && renewal->row.state == renewal_state::Released)
        return true;
    return std::any_of(fleet.daemons.begin(), fleet.daemons.end(),
        [&](const fleet_daemon& daemon) { return daemon.daemon == share.daemon && daemon.isRemoved; });
}

} // namespace radishflow
