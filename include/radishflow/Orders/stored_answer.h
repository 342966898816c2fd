// Declares stored_answer, the answer of an order as it is kept for callers that send it again.
#pragma once

#include <string>

namespace radishflow {

struct stored_answer {
    int status = 0; ///< HTTP status.
    std::string contentType;
    std::string body;
    bool isBodyKept = true; ///< False when the body was too long to keep.

    friend bool operator==(const stored_answer&, const stored_answer&) = default;
};

/// Drops a body of more than `maximumBytes`.
stored_answer limitBody(stored_answer, std::size_t maximumBytes);

} // namespace radishflow
