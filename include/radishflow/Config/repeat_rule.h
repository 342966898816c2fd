// Declares repeat_rule, which says whether calls of a plain service may be sent twice.
#pragma once

#include <string>

namespace radishflow {

/// Applies to calls with this method whose path is the prefix or lies under it.
struct repeat_rule {
    std::string method; ///< Upper case, such as "POST".
    std::string pathPrefix; ///< Starts with '/'.
    bool isRepeatable = false;

    friend bool operator==(const repeat_rule&, const repeat_rule&) = default;
};

} // namespace radishflow
