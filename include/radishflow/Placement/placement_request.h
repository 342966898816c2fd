// Declares what placement needs to know of a request.
#pragma once

#include "radishflow/Support/ids.h"

#include <cstdint>
#include <string>

namespace radishflow {

/// A request of a chat, seen from the entry's region.
struct placement_request {
    std::uint64_t chatHash = 0; ///< From hashOfChat; also names the chat's prefix towards the engine.
    region_id region; ///< Region of the entry.
    std::uint64_t tailSeed = 0; ///< Drawn anew for each attempt to place the request; varies the ranks beyond the homes.
};

/// Hash by which every daemon ranks the servers of a chat; the same on every host.
std::uint64_t hashOfChat(const service_id&, const chat_id&);

/// Name of the chat's prefix in cache events and in X-Chat-Prefix: 16 hexadecimal digits.
std::string prefixName(std::uint64_t chatHash);

/// Reads a prefix name back; false when it is none of ours.
bool parsePrefixName(const std::string& name, std::uint64_t& chatHash);

} // namespace radishflow
