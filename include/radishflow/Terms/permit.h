// Declares the answer of the last check before a request is written to a backend server.
#pragma once

#include "radishflow/Support/ids.h"

namespace radishflow {

enum class refusal_reason {
    None,
    NotOwner,
    Unsettled, ///< Former holders are not accounted for yet.
    AtLimit,
    AtDarkShare, ///< The term has lapsed and the dark share is used up.
    WindowFull, ///< Too many requests are checked and not yet written; may be tried again at once.
    HandingOver,
};

/// Returns a word for logs and problem details.
const char* nameOf(refusal_reason);

/// A granted permit must be followed by started() or abandoned() with its term.
struct permit {
    bool isGranted = false;
    refusal_reason reason = refusal_reason::NotOwner;
    term_number term; ///< Fencing number to send along.
    int allowed = 0; ///< Requests that may be outstanding now.
};

} // namespace radishflow
