// Declares the attributes of a request by which it is placed, and the naming of chat prefixes.
#pragma once

#include "radishflow/Support/ids.h"

#include <cstdint>
#include <string>

namespace radishflow {

/// A request of a chat, as placed by the daemon that received it.
struct placement_request {
    std::uint64_t chatHash = 0; ///< From hashOfChat; also identifies the chat's prefix in the engine's cache.
    region_id region; ///< Region of the placing daemon.
    std::uint64_t tailSeed = 0; ///< Random per placement; varies the ranks beyond the affinity ranks. 0 ranks by the chat alone.
};

/// Returns the hash by which daemons rank the servers of a chat; the same on every host.
std::uint64_t hashOfChat(const service_id&, const chat_id&);

/// Returns the name of the chat's prefix in cache events and in X-Chat-Prefix: 16 hexadecimal digits.
std::string prefixName(std::uint64_t chatHash);

/// Parses a prefix name. Returns false unless it is 16 hexadecimal digits; chatHash is then unspecified.
bool parsePrefixName(const std::string& name, std::uint64_t& chatHash);

} // namespace radishflow
