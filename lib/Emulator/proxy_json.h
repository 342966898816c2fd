// Declares the JSON of the fault proxy's control.
#pragma once

#include "proxy_counts.h"
#include "proxy_rules.h"

#include <Poco/JSON/Object.h>

namespace radishflow {

/// Returns the rules with the named ones changed. Throws Poco::Exception when one is not valid.
proxy_rules changedRules(proxy_rules, const Poco::JSON::Object& changes);

Poco::JSON::Object::Ptr encodeCounts(const proxy_counts&);

} // namespace radishflow
