// Declares the reading and checking of a caller's request.
#pragma once

#include "radishflow/Edge/caller_request.h"
#include "radishflow/Edge/edge_options.h"
#include "radishflow/Requests/refusal.h"

#include <optional>
#include <variant>

namespace Poco::Net {
class HTTPServerRequest;
}

namespace radishflow {

/// Refuses a head whose end, method, address or size is in doubt.
std::optional<refusal> checkHead(const Poco::Net::HTTPServerRequest&);

/// Reads the body within the bounds of the options; a longer or broken one gives a refusal.
std::variant<std::string, refusal> readBody(Poco::Net::HTTPServerRequest&, const edge_options&);

/// True for a path that is answered by a backend server.
bool isCallPath(const std::string& path);

/// Reads a model call or a service call with its headers.
std::variant<caller_request, refusal> readCall(Poco::Net::HTTPServerRequest&, const edge_options&);

} // namespace radishflow
