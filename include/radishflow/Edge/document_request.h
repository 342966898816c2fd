// Declares document_request, a request for something that the daemon answers itself.
#pragma once

#include <map>
#include <string>

namespace radishflow {

/// A request that no backend server sees.
struct document_request {
    std::string method;
    std::string path; ///< Without the query.
    std::map<std::string, std::string> query;
    std::string body;
    std::string credential; ///< The Authorization header.
};

} // namespace radishflow
