// Converts gossip messages to datagrams and back (Thrift's compact protocol).
#pragma once

#include "radishflow/Membership/gossip_message.h"
#include "radishflow/Support/result.h"

#include <string>
#include <string_view>

namespace radishflow {

/// Returns the bytes of a message.
std::string encodeGossip(const gossip_message&);

/// Returns the message, or Broken when the bytes are no valid message or break a limit.
result<gossip_message> decodeGossip(std::string_view bytes);

} // namespace radishflow
