// Declares the strict parsing of HTTP/1.1 heads.
#pragma once

#include "radishflow/Requests/message_head.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace radishflow {

enum class parse_state {
    Incomplete, ///< The end of the head has not been received yet.
    Complete,
    TooLarge, ///< Longer than the given maximum.
    Malformed, ///< Invalid or ambiguous.
};

/// Parses the head at the beginning of the input. On Complete, sets `length` to its size in bytes.
parse_state parseRequestHead(std::string_view input, std::size_t maxBytes, request_head&, std::size_t& length);
parse_state parseResponseHead(std::string_view input, std::size_t maxBytes, response_head&, std::size_t& length);

/// Appends the field in a line of a head or of trailers, without its line end. Returns false if the line is malformed.
bool parseField(std::string_view line, header_fields&);
/// Returns whether a field's value may consist of these characters: no control characters except tabs.
bool isFieldValue(std::string_view);

} // namespace radishflow
