// Declares session_end, what becomes of a connection that was served.
#pragma once

namespace radishflow {

enum class session_result {
    Idle, ///< Waits for its next request.
    Closed,
};

} // namespace radishflow
