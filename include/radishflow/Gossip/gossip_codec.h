// Declares the functions that encode gossip messages to datagrams and decode them (Thrift's compact protocol).
#pragma once

#include "radishflow/Membership/gossip_message.h"
#include "radishflow/Support/result.h"

#include <string>
#include <string_view>

namespace radishflow {

/// Returns the encoded message, without authentication code.
std::string encodeGossip(const gossip_message&);

/// Returns the message; fails with Broken if the bytes aren't a valid message or a value exceeds its limit.
result<gossip_message> decodeGossip(std::string_view bytes);

} // namespace radishflow
