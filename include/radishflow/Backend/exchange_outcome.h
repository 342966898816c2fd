// Declares exchange_outcome, what one attempt at a backend server showed about that server.
#pragma once

namespace radishflow {

/// How an attempt at a backend server ended.
struct exchange_outcome {
    bool wasSent = false; ///< Any byte of the request may have reached the server.
    bool isWhole = false; ///< The whole answer arrived.
    bool wasReset = false; ///< The connection broke although the server had accepted it.
};

} // namespace radishflow
