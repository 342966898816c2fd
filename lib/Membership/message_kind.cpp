// Implements nameOf() for message_kind.
#include "radishflow/Membership/message_kind.h"

#include <array>

namespace radishflow {

const char* nameOf(message_kind kind)
{
    static constexpr std::array<const char*, messageKindCount> names { "unknown", "ping", "ack", "ping_request", "gossip", "notice",
        "digest", "digest_entries", "sync", "member_load", "zone_load", "fleet_load" };
    const auto index = static_cast<std::size_t>(kind);
    return index < names.size() ? names[index] : names[0];
}

} // namespace radishflow
