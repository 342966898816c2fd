// Declares the text of responses to callers.
#pragma once

#include "radishflow/Relay/message_head.h"
#include "radishflow/Requests/refusal.h"
#include "radishflow/Support/ids.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace radishflow {

/// Returns the head that passes a backend server's answer on. Without a length the body follows in chunks.
std::string writeResponseHead(const response_head&, std::optional<std::size_t> bodyBytes, bool keepsOpen);

/// Returns a whole response that refuses a request.
std::string writeRefusal(const refusal&, const request_id&, bool keepsOpen);

/// Returns a whole response of the daemon's own.
std::string writeDocument(int status, std::string_view contentType, std::string_view body, bool keepsOpen);

/// Adds bytes as one chunk.
void appendChunk(std::string& text, std::string_view bytes);

inline constexpr std::string_view lastChunk = "0\r\n\r\n";

} // namespace radishflow
