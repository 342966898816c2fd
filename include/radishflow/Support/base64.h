// Declares Base64, in which the platform's tables carry bytes.
#pragma once

#include <string>
#include <string_view>

namespace radishflow {

/// Encodes without line breaks.
std::string encodeBase64(std::string_view bytes);
/// Decodes up to the first character that isn't Base64.
std::string decodeBase64(const std::string& text);

} // namespace radishflow
