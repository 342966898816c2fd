// Declares gossip_message and its parts, the decoded content of one datagram; gossip_codec encodes it.
#pragma once

#include "radishflow/Membership/fleet_register.h"
#include "radishflow/Membership/member_status.h"
#include "radishflow/Membership/message_kind.h"
#include "radishflow/Membership/peer_address.h"
#include "radishflow/Membership/service_load.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace radishflow {

/// A member's status, addresses and location.
struct member_update {
    daemon_id id;
    member_status status;
    peer_address address;
    std::string http;
    zone_id zone;
    region_id region;
};

struct record_update {
    daemon_id id;
    incarnation_number incarnation;
    std::string key;
    std::uint64_t version = 0;
    std::string bytes;
};

struct register_update {
    std::string key;
    fleet_register value;
};

/// Hashes of one entry's key and of its version.
struct entry_digest {
    std::uint32_t key = 0;
    std::uint32_t version = 0;
};

struct gossip_message {
    /// Limit of an encoded datagram with its authentication code.
    static constexpr std::size_t maxBytes = 1200;

    message_kind kind = message_kind::Ping;
    daemon_id sender;
    incarnation_number incarnation;
    std::uint64_t refutation = 0;
    std::uint64_t stateHash = 0; ///< Total of the sender's state_digest; 0 if the kind carries none.
    std::uint64_t sequence = 0; ///< Matches an Ack to its Ping.
    daemon_id target; ///< Ping: intended receiver, empty for any daemon at the address. Ack: member that answered, empty for the sender.
    peer_address targetAddress;
    std::vector<member_update> members;
    std::vector<record_update> records;
    std::vector<register_update> registers;
    std::vector<std::uint64_t> buckets;
    std::uint32_t bucketMask = 0;
    std::vector<entry_digest> entries;
    std::vector<std::uint32_t> wanted;
    std::vector<service_load> loads;
    std::uint32_t ageMs = 0;
    zone_id zone;
};

/// Return upper bounds of the encoded sizes in bytes, by which messages are filled up to maxBytes.
std::size_t encodedBound(const member_update&);
std::size_t encodedBound(const record_update&);
std::size_t encodedBound(const register_update&);

/// Upper bound, in bytes, of an encoded message without its updates but with the authentication code.
inline constexpr std::size_t messageHeaderBound = 300;

} // namespace radishflow
