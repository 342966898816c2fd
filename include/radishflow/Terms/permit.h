// Declares the result of the admission check that precedes writing a request to a backend server.
#pragma once

#include "radishflow/Support/ids.h"

namespace radishflow {

enum class refusal_reason {
    None,
    NotOwner,
    Unsettled, ///< Requests of former holders are not yet accounted for.
    AtLimit,
    AtGraceShare, ///< The term has lapsed and the grace share is used up.
    WindowFull, ///< Too many requests are admitted and not yet written; the caller may retry at once.
    HandingOver, ///< The server is being released to another daemon.
};

/// Returns the text for logs and problem details.
const char* nameOf(refusal_reason);

/// Result of an admission check. A granted permit must be followed by recordStarted() or recordAbandoned() with its term.
struct permit {
    bool isGranted = false;
    refusal_reason reason = refusal_reason::NotOwner;
    term_number term; ///< Fencing token to send with the request.
    int allowed = 0; ///< Maximum number of outstanding requests at present.
};

} // namespace radishflow
