// Declares server_outcome, the result of a request at a backend server as used to judge the server's health.
#pragma once

namespace radishflow {

enum class server_outcome {
    Served, ///< The server answered correctly, or the caller caused the error.
    Failed, ///< The server answered with an error, closed the connection early or timed out.
    Unreachable, ///< The connection was refused, or another server has the address.
    Abandoned, ///< The caller disconnected first, so the result says nothing about the server's health.
};

} // namespace radishflow
