// Declares the kinds of services that the system routes to.
#pragma once

namespace radishflow {

enum class service_kind {
    Model, ///< Engines that generate tokens and report their load.
    Plain, ///< Ordinary HTTP servers, which report nothing on load.
};

/// Returns the word that service files use.
const char* nameOf(service_kind);

} // namespace radishflow
