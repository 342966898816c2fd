// Declares document, a small whole answer of the daemon itself.
#pragma once

#include <string>

namespace radishflow {

/// An answer that the daemon makes itself, such as its state or its metrics.
struct document {
    int status = 200;
    std::string contentType = "application/json";
    std::string body;
};

} // namespace radishflow
