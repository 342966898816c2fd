// Declares stored_response, the response to an order as it is stored and returned to callers that repeat it.
#pragma once

#include <string>

namespace radishflow {

struct stored_response {
    int status = 0; ///< HTTP status.
    std::string contentType;
    std::string body;
    bool isBodyStored = true; ///< False when the body was too long to store.

    friend bool operator==(const stored_response&, const stored_response&) = default;
};

/// Returns the response, without its body if that has more than `maximumBytes`.
stored_response limitBody(stored_response, std::size_t maximumBytes);

} // namespace radishflow
