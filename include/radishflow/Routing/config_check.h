// Declares the check of a configuration before the operator writes it.
#pragma once

#include "radishflow/Routing/routing_config.h"

#include <string>
#include <vector>

namespace radishflow {

enum class finding_kind {
    Error, ///< Requests would be refused or sent elsewhere than the entry says.
    Unreachable, ///< The entry can never apply to a request.
    Contradiction, ///< Two limits exclude each other, or one has no effect beside another.
};

struct config_finding {
    finding_kind kind = finding_kind::Error;
    std::string entry; ///< Such as "route r-1".
    std::string text;
};

inline const char* nameOf(finding_kind kind)
{
    switch (kind) {
    case finding_kind::Error:
        return "error";
    case finding_kind::Unreachable:
        return "never matches";
    case finding_kind::Contradiction:
        break;
    }
    return "contradiction";
}

/// Returns what is wrong with a configuration, in the order of its entries.
std::vector<config_finding> checkConfig(const routing_config&);

/// Returns one line for each entry that a configuration adds, removes or changes beside the one in force. API keys are counted, not
/// shown.
std::vector<std::string> describeChanges(const routing_config& inForce, const routing_config& candidate);

} // namespace radishflow
