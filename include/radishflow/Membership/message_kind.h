// Declares message_kind, the types of gossip datagrams.
#pragma once

#include <cstddef>
#include <cstdint>

namespace radishflow {

enum class message_kind : std::uint8_t {
    Ping = 1,
    Ack,
    PingRequest, ///< Requests that the receiver pings the target.
    Gossip, ///< Carries only updates.
    Notice, ///< Sends a suspect, dead or outdated member its own status, so that it can refute it.
    Digest, ///< Hashes of all buckets of entries.
    DigestEntries, ///< Hashes of the entries in the buckets that differ.
    Sync, ///< Entries that the receiver lacks, and keys of entries requested from it.
    MemberLoad, ///< Loads of one daemon, sent to the aggregator of its zone.
    ZoneLoad, ///< Sum over a zone, exchanged between aggregators.
    FleetLoad, ///< Sum over the fleet, sent by an aggregator to its zone.
};

inline constexpr std::size_t messageKindCount = 12;

/// Returns the name used in metrics and dumps.
const char* nameOf(message_kind);

} // namespace radishflow
