// Declares the steps of anti-entropy synchronisation, which repairs differences left by lost datagrams.
#pragma once

#include "radishflow/Membership/gossip_message.h"
#include "radishflow/Membership/member_list.h"

#include <cstdint>
#include <vector>

namespace radishflow {

/// Returns the response to a Digest: the entry digests of the buckets that differ, as many buckets as fit into one
/// datagram.
gossip_message makeDigestResponse(const member_list&, const gossip_message& digest);

/// Returns the response to DigestEntries: the entries that the sender lacks or holds in another version, and the
/// keys of the entries requested from it. Sends at most `maxMessages` datagrams; the remaining entries follow with
/// the next synchronisation.
std::vector<gossip_message> makeSyncResponse(const member_list&, const gossip_message& entries, std::size_t maxMessages);

/// Returns the entries with the given key hashes in at most `maxMessages` datagrams.
std::vector<gossip_message> makeSyncMessages(const member_list&, const std::vector<std::uint32_t>& keys, std::size_t maxMessages);

} // namespace radishflow
