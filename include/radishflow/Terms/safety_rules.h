// Declares the rules that keep the requests at a server within its limit. Tests can disable each of them.
#pragma once

namespace radishflow {

/// The rules of models/residual_allowance.pml. Production code enables all of them; tests show that the limit can be
/// exceeded when any one is disabled.
struct safety_rules {
    bool reserveWindow = true; ///< Reserve capacity for requests that a former holder has admitted and not yet written.
    bool waitForReport = true; ///< A successor sends nothing before the requests of former holders are accounted for.
    bool graceRequiresSettled = true; ///< A holder that never accounted for its predecessors has no grace share.
    bool reportByOrigin = true; ///< Account for each former holder separately instead of for their total.
    bool termFromSending = true; ///< Measure the term from before the renewal is sent instead of from its reply.
    bool markFormerHolder = true; ///< A takeover marks the former holder's renewal row as lapsed.
};

} // namespace radishflow
