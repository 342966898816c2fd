// Declares the strict parsing of HTTP/1.1 heads.
#pragma once

#include "radishflow/Relay/message_head.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace radishflow {

enum class parse_state {
    Incomplete, ///< The end of the head hasn't come yet.
    Complete,
    TooLarge,
    Malformed, ///< Can't be read, or could be read in two ways.
};

/// Reads a head from the beginning of the input; on Whole, sets `length` to the bytes that it takes.
parse_state parseRequestHead(std::string_view input, std::size_t maxBytes, request_head&, std::size_t& length);
parse_state parseResponseHead(std::string_view input, std::size_t maxBytes, response_head&, std::size_t& length);

} // namespace radishflow
