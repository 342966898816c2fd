// Declares the ids by which callers resume, which name the server that holds the generation.
#pragma once

#include "radishflow/Support/ids.h"

#include <string>

namespace radishflow {

/// A request's id together with a mark of its server.
struct resume_id {
    request_id request;
    std::string serverMark; ///< Empty when the id names no server.
};

/// Returns the mark of a server, 16 hexadecimal digits.
std::string markOf(const server_id&);

/// Returns "<request>.<mark>".
request_id makeResumeId(const request_id&, const server_id&);

/// Takes an id apart; one without a mark is returned as it is.
resume_id parseResumeId(const request_id&);

} // namespace radishflow
