// Declares claim_state, the states of a claim_record.
#pragma once

namespace radishflow {

/// Transitions: Claimed -> Dispatching -> Done | NotRun | Unknown; Claimed -> NotRun, by any daemon;
/// Unknown -> Done | NotRun, by the holder only. Done and NotRun are final.
enum class claim_state {
    Claimed, ///< Not dispatched; the holder must write Dispatching before it dispatches.
    Dispatching, ///< The holder may have dispatched the order.
    Done,
    NotRun,
    Unknown,
};

} // namespace radishflow
