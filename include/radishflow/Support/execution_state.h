// Declares what is known about whether a request ran.
#pragma once

namespace radishflow {

/// The statement that every refusal and outcome carries.
enum class execution_state {
    NotRun, ///< It was not dispatched, and this attempt never will be.
    Unknown, ///< It may or may not have run.
    Done, ///< It ran, and its answer is known.
};

/// Returns "not_run", "unknown" or "done", the words of the callers' interface.
constexpr const char* nameOf(execution_state state)
{
    switch (state) {
    case execution_state::NotRun:
        return "not_run";
    case execution_state::Done:
        return "done";
    case execution_state::Unknown:
        break;
    }
    return "unknown";
}

} // namespace radishflow
