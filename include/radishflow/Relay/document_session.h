// Declares the serving of the daemon's own documents, such as readiness and metrics.
#pragma once

#include "radishflow/Edge/document.h"
#include "radishflow/Relay/relay_socket.h"
#include "radishflow/Relay/session_result.h"

#include <functional>
#include <string>

namespace radishflow {

/// Returns the document for a request target, which includes the query.
using document_source = std::function<document(const std::string& target)>;

/// Serves the requests that have arrived on one connection.
session_result serveDocuments(relay_socket&, const document_source&);

} // namespace radishflow
