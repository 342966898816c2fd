// Declares execution_state, what a caller is told about whether its order ran.
#pragma once

namespace radishflow {

enum class execution_state {
    NotRun, ///< Nothing was dispatched, and nothing later can dispatch this order under its key.
    Unknown, ///< It may have run, may be running, or may still run when it is sent again with its key.
    Done, ///< It ran once and its answer was received.
};

/// Returns the word that problem details use.
const char* nameOf(execution_state);

} // namespace radishflow
