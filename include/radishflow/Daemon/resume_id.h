// Declares resume_id, the ids by which callers resume; they identify the server that holds the generation.
#pragma once

#include "radishflow/Support/ids.h"

#include <string>

namespace radishflow {

/// Request id with the mark of its server.
struct resume_id {
    request_id request;
    std::string serverMark; ///< Empty when the id contains no mark.
};

/// Returns the mark of a server, 16 hexadecimal digits.
std::string markOf(const server_id&);

/// Returns "<request>.<mark>".
request_id makeResumeId(const request_id&, const server_id&);

/// Splits an id into request and mark; an id without a mark is returned unchanged.
resume_id parseResumeId(const request_id&);

} // namespace radishflow
