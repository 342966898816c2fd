// Declares claim_state, the states of a claim's row.
#pragma once

namespace radishflow {

/// Claimed -> Dispatching -> Done | NotRun | Unknown; Claimed -> NotRun by any daemon; Unknown -> Done |
/// NotRun only by the holder. Done and NotRun are final.
enum class claim_state {
    Claimed, ///< Nothing was dispatched, and the holder has to write Dispatching first.
    Dispatching, ///< The holder may have dispatched it.
    Done,
    NotRun,
    Unknown,
};

} // namespace radishflow
