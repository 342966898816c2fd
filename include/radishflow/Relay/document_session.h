// Declares the serving of the daemon's own pages.
#pragma once

#include "radishflow/Edge/document.h"
#include "radishflow/Relay/relay_socket.h"
#include "radishflow/Relay/session_result.h"

#include <functional>
#include <string>

namespace radishflow {

/// Returns the page of a request target, query included.
using document_source = std::function<document(const std::string& target)>;

/// Serves what has arrived on one connection.
session_result serveDocuments(relay_socket&, const document_source&);

} // namespace radishflow
