// Declares the steps of synchronisation, which heals what lost datagrams left out.
#pragma once

#include "radishflow/Membership/gossip_message.h"
#include "radishflow/Membership/member_list.h"

#include <cstdint>
#include <vector>

namespace radishflow {

/// Answers a Digest with the entries of the buckets that differ, as many buckets as one datagram holds.
gossip_message answerDigest(const member_list&, const gossip_message& digest);

/// Answers DigestEntries with the entries that the sender lacks or holds differently, and asks for those
/// that this daemon lacks; at most `maxMessages` datagrams, the rest follows with the next synchronisation.
std::vector<gossip_message> answerEntries(const member_list&, const gossip_message& entries, std::size_t maxMessages);

/// Returns the wanted entries in at most `maxMessages` datagrams.
std::vector<gossip_message> syncMessages(const member_list&, const std::vector<std::uint32_t>& keys, std::size_t maxMessages);

} // namespace radishflow
