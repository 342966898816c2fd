// Declares session_result, the state of a connection after its requests were served.
#pragma once

namespace radishflow {

enum class session_result {
    Idle, ///< Open, to wait for the next request.
    Closed,
};

} // namespace radishflow
