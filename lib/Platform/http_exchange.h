// Declares one HTTP request to the platform and its outcome.
#pragma once

#include "radishflow/Platform/platform_options.h"
#include "radishflow/Support/result.h"

#include <string>

namespace radishflow {

enum class effect { Read,
    Write };

struct platform_request {
    std::string step; ///< Names the call in failures.
    effect kind = effect::Read;
    std::string method;
    std::string path;
    std::string body;
    std::string contentType;
    bool onlyIfAbsent = false; ///< Sends If-None-Match: *.
};

struct platform_reply {
    int status = 0;
    std::string body;
};

/// Sends a request over a new connection and reads the whole answer, whatever its status.
result<platform_reply> exchange(const platform_options&, const platform_request&);

/// Loads the failure that a status outside 2xx stands for.
boost::leaf::error_id failOnStatus(const platform_options&, const platform_request&, const platform_reply&);

/// Loads the failure of a reply whose content is not valid.
boost::leaf::error_id failOnContent(const platform_options&, const platform_request&, const std::string& detail);

} // namespace radishflow
