// Implements which calls of a service may be sent twice.
#include "radishflow/Config/service_settings.h"

namespace radishflow {

const char* nameOf(service_kind kind)
{
    return kind == service_kind::Model ? "model" : "plain";
}

// A prefix ends at a path segment, so that /orders doesn't cover /orders-archive.
static bool isUnder(std::string_view path, std::string_view prefix)
{
    if (!path.starts_with(prefix))
        return false;
    return prefix.ends_with('/') || path.size() == prefix.size() || path[prefix.size()] == '/' || path[prefix.size()] == '?';
}

bool isRepeatable(const service_settings& service, std::string_view method, std::string_view path)
{
    if (service.kind == service_kind::Model)
        return true;
    const repeat_rule* longest = nullptr;
    for (const repeat_rule& rule : service.repeatRules) {
        if (rule.method != method || !isUnder(path, rule.pathPrefix))
            continue;
        if (!longest || rule.pathPrefix.size() > longest->pathPrefix.size())
            longest = &rule;
    }
    if (longest)
        return longest->isRepeatable;
    return method == "GET" || method == "HEAD";
}

} // namespace radishflow
