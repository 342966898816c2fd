// Declares prompt_origin, where a backend server has a request's shared prompt from.
#pragma once

#include <string_view>

namespace radishflow {

enum class prompt_origin {
    None, ///< The request has no prompt.
    Held, ///< The server holds it from earlier requests.
    Copied, ///< It is copied from a server that holds it.
    Read, ///< The server has to read it.
};

constexpr std::string_view nameOf(prompt_origin origin)
{
    switch (origin) {
    case prompt_origin::None:
        return "none";
    case prompt_origin::Held:
        return "held";
    case prompt_origin::Copied:
        return "copied";
    case prompt_origin::Read:
        return "read";
    }
    return "none";
}

} // namespace radishflow
