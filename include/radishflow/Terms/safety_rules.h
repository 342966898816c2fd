// Declares the rules that keep the work at a server within its limit, each of which tests can switch off.
#pragma once

namespace radishflow {

/// The rules of models/residual_allowance.pml. All hold in production; tests show what breaks without one.
struct safety_rules {
    bool reserveWindow = true; ///< A former holder's checked but unwritten requests are reserved.
    bool waitForReport = true; ///< A successor sends nothing before former holders are accounted for.
    bool darkNeedsSettled = true; ///< A holder that never settled has no dark share.
    bool reportByOrigin = true; ///< The report accounts for each former holder, not for their sum.
    bool termFromSending = true; ///< The term counts from before the renewal was sent, not from its reply.
    bool markFormerHolder = true; ///< A takeover marks the former holder's renewal row as lapsed.
};

} // namespace radishflow
