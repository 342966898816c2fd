// Declares message_kind, the types of gossip datagrams.
#pragma once

#include <cstddef>
#include <cstdint>

namespace radishflow {

enum class message_kind : std::uint8_t {
    Ping = 1,
    Ack,
    PingRequest, ///< Asks a third member to ping the target.
    Gossip, ///< News only.
    Notice, ///< Tells a suspect or dead member what is said of it.
    Digest, ///< Hashes of all buckets of entries.
    DigestEntries, ///< Hashes of the entries in the buckets that differ.
    Sync, ///< Entries that the receiver lacks, and keys of those wanted from it.
    MemberLoad, ///< Loads of one daemon, to the aggregator of its zone.
    ZoneLoad, ///< Sum over a zone, between aggregators.
    FleetLoad, ///< Sum over the fleet, from an aggregator to its zone.
};

inline constexpr std::size_t messageKindCount = 12;

/// Returns a word for metrics and dumps.
const char* nameOf(message_kind);

} // namespace radishflow
