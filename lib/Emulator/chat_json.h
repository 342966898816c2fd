// Declares the JSON that the engine's stand-in reads and writes.
#pragma once

#include "engine_record.h"
#include "generation.h"
#include "order_book.h"
#include "prefix_cache.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>

#include <string>
#include <vector>

namespace radishflow {

/// Reads model, last user message and max_tokens. Throws Poco::Exception when the body is not valid.
generation_request decodeChat(const std::string& body);

/// Returns whether the body asks for a stream.
bool asksForStream(const std::string& body);

/// Returns the urgency of an RFC 9218 Priority header; 3 when it names none.
int urgencyOf(const std::string& priority);

/// Returns one streamed chunk with the token of that index, from 1.
std::string chunkText(const generation_request&, int index);

/// Returns the whole answer of a request that is not streamed.
std::string completionText(const generation_request&);

/// Returns the answer to a poll for cache events from a number on.
std::string eventsText(const std::vector<kv_event>&, std::uint64_t since);

/// Returns the bytes that stand for a prefix's cache.
std::string exportedBytes(const std::string& prefix);

Poco::JSON::Object::Ptr encodeRecord(const engine_record&);
Poco::JSON::Array::Ptr encodeOrders(const std::vector<engine_order>&);

} // namespace radishflow
