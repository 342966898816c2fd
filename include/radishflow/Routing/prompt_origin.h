// Declares prompt_origin, how a backend server obtains the shared prompt of a request.
#pragma once

#include <string_view>

namespace radishflow {

enum class prompt_origin {
    None, ///< The request has no shared prompt.
    Held, ///< The server's cache holds the prompt from earlier requests.
    Copied, ///< The prompt is copied from the cache of another server.
    Read, ///< No known cache holds the prompt, so the server has to process it.
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
