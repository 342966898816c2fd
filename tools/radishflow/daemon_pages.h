// Declares the reading of pages of daemons.
#pragma once

#include "radishflow/Support/result.h"

#include "command.h"

#include <Poco/JSON/Object.h>

#include <string>
#include <vector>

namespace radishflow {

/// Sends a request to a daemon and returns the JSON object that it answers. Fails as Refused, with the
/// problem's detail, on any other status than 200.
result<Poco::JSON::Object::Ptr> askDaemon(const std::string& address, const std::string& method, const std::string& path, const std::string& body = {});

/// Returns the callers' addresses of the daemons to ask: the one given, or all that the platform lists.
result<std::vector<std::string>> daemonAddresses(const command_options&);

/// Prints a failure to standard error.
exit_code reportFailure(const failure&);

} // namespace radishflow
