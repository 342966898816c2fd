// Declares the functions that serialize responses to callers.
#pragma once

#include "radishflow/Requests/message_head.h"
#include "radishflow/Requests/refusal.h"
#include "radishflow/Support/ids.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace radishflow {

/// Returns the head for forwarding a backend server's response. Without a body length, the body is to follow in chunks.
/// Fields between daemons are left out; the lines of `extraFields` are added.
std::string writeResponseHead(const response_head&, std::optional<std::size_t> bodyBytes, bool keepsOpen, std::string_view extraFields = {});

/// Returns a complete response that refuses a request.
std::string writeRefusal(const refusal&, const request_id&, bool keepsOpen, std::string_view extraFields = {});

/// Returns a complete response with a document of the daemon itself.
std::string writeDocument(int status, std::string_view contentType, std::string_view body, bool keepsOpen);

/// Appends the bytes as one chunk.
void appendChunk(std::string& text, std::string_view bytes);

inline constexpr std::string_view lastChunk = "0\r\n\r\n";

} // namespace radishflow
