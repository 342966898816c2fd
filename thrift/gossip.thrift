// Datagrams of the membership gossip between the daemons of one fleet; at most 1,200 bytes each.
namespace cpp radishflow.gossip_wire

// State of a member. The receiver keeps the greater of two states by the order in member_status.h.
struct MemberUpdate {
  1: string id
  2: i64 incarnation
  3: i32 terminal          // 0 alive or suspect, 1 dead, 2 left
  4: i64 refutation
  5: bool suspect
  6: string address
  7: string http
  8: string zone
  9: string region
}

// A named, versioned value that one daemon publishes about itself.
struct RecordUpdate {
  1: string id
  2: i64 incarnation
  3: string key
  4: i64 version
  5: binary bytes
}

// A versioned value that belongs to the whole fleet.
struct RegisterUpdate {
  1: string key
  2: i64 version
  3: i64 stamp
  4: binary bytes
}

struct ServiceLoad {
  1: i32 serviceKey        // 32-bit hash of the service's name
  2: i32 running
  3: i32 servers
}

struct Message {
  1: i32 kind              // message_kind
  2: string sender
  3: i64 incarnation
  4: i64 refutation
  5: optional i64 stateHash
  6: optional i64 sequence
  7: optional string target
  8: optional string targetAddress
  9: optional list<MemberUpdate> members
  10: optional list<RecordUpdate> records
  11: optional list<RegisterUpdate> registers
  12: optional list<i64> buckets   // hash of the entries in each bucket
  13: optional list<i32> entries   // alternately the hash of a key and of its version
  14: optional list<i32> wanted    // hashes of the requested keys
  15: optional i32 bucketMask      // bit mask of the buckets that `entries` covers
  16: optional list<ServiceLoad> loads
  17: optional i32 ageMs           // age of the oldest part of `loads`
  18: optional string zone
}
