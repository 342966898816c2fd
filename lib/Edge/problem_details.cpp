// Implements the RFC 9457 text of a refusal.
#include "radishflow/Edge/problem_details.h"

#include <Poco/JSON/Object.h>

#include <sstream>

namespace radishflow {

std::string problemDetails(const refusal& reason, const request_id& request)
{
    Poco::JSON::Object object { Poco::JSON_PRESERVE_KEY_ORDER };
    object.set("type", "about:blank");
    object.set("title", reason.title);
    object.set("status", reason.status);
    object.set("detail", reason.detail);
    object.set("execution", nameOf(reason.execution));
    object.set("request_id", request.value());
    if (reason.retryAfter.count() > 0)
        object.set("retry_after_ms", static_cast<long long>(reason.retryAfter.count()));
    std::ostringstream text;
    object.stringify(text);
    return text.str();
}

} // namespace radishflow
