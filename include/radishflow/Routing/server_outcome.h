// Declares server_outcome, how a request ended at a backend server, as far as it tells of the server's health.
#pragma once

namespace radishflow {

enum class server_outcome {
    Served, ///< Answered as asked, or the caller's own fault.
    Failed, ///< Answered with an error, broke off or stayed silent.
    Unreachable, ///< Refused the connection, or another server has the address.
    Abandoned, ///< The caller left first, which tells nothing.
};

} // namespace radishflow
