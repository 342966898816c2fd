// Declares stored_response, the response of an order as it is kept for callers that send it again.
#pragma once

#include <string>

namespace radishflow {

struct stored_response {
    int status = 0; ///< HTTP status.
    std::string contentType;
    std::string body;
    bool isBodyStored = true; ///< False when the body was too long to keep.

    friend bool operator==(const stored_response&, const stored_response&) = default;
};

/// Drops a body of more than `maximumBytes`.
stored_response limitBody(stored_response, std::size_t maximumBytes);

} // namespace radishflow
