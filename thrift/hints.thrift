// Datagrams in which relaying daemons publish their observations of backend servers; at most 1,200 bytes each.
namespace cpp radishflow.hints_wire

// A request was in flight when a backend server crashed. Clocks differ, so the remaining time is sent.
struct CrashHint {
  1: i64 fingerprint_high
  2: i64 fingerprint_low
  3: string server
  4: i32 remaining_ms
  // The server had sent parts of the response for some time. Daemons of earlier versions do not state it.
  5: optional bool had_progress
}

// A prompt part was in flight when a backend server crashed, or, with an empty process, a response to it is complete. Clocks
// differ, so the age is sent.
struct PartHint {
  1: i64 part
  2: string process
  3: string zone
  4: i32 age_ms
}

// A backend server stated a request limit, in thousandths of a request per second, or, without one, its end. Clocks differ, so
// the age is sent.
struct LimitHint {
  1: i32 server
  2: optional i32 milli_requests_per_second
  3: i32 age_ms
}

// Responses of the other versions of a service under a roll-out, by route. The paces alternate between a bucket and its count.
struct RouteTally {
  1: i32 route
  2: i32 responses
  3: i32 failures
  4: list<i32> paces
}

// What the sender has seen of the roll-out of a service; sent to the coordinators.
struct RolloutEvidence {
  1: i32 service_key
  2: i64 order
  3: i64 requests
  4: i64 target_requests
  5: i32 base_in_flight
  6: list<RouteTally> base
  // Parallel lists: newest responses of the target, with the pace's bucket, -1 for none and -2 for a failure.
  7: list<i32> target_routes
  8: list<i32> target_servers
  9: list<i32> target_outcomes
}

// How a coordinator goes on with the roll-out of a service. Clocks differ, so the age of the decision is sent.
struct RolloutNotice {
  1: i32 service_key
  2: i64 order
  3: bool suspended
  4: bool trial
  5: i32 share_per_million
  6: i32 age_ms
  7: i32 state  // 0 running, 1 done, 2 rolled back
}

struct Hints {
  // Parallel lists: the hash of a server's id, the number of its running and waiting requests, and the age of that report.
  // Daemons of earlier versions send no ages.
  1: list<i32> servers
  2: list<i32> loads
  6: list<i32> load_ages_ms
  3: list<CrashHint> crashes
  // Parallel lists: the hash of a prompt, and the hash of the id of the server whose cache holds it.
  4: list<i32> prompts
  5: list<i32> homes
  7: list<PartHint> parts
  8: list<LimitHint> limits
  // Parallel lists: the hash of a service's id, and how long ago the sender reached a backend server of it. Services whose servers
  // it does not reach are left out.
  9: list<i32> contact_services
  10: list<i32> contact_ages_ms
  // Services whose servers the sender does not reach; it asks whether the receiver does.
  11: list<i32> asked_services
  12: list<RolloutNotice> rollout_notices
  13: list<RolloutEvidence> rollout_evidence
  // Parallel lists: the hash of a prompt, the hash of the id of a server that read it, and how long ago a request with it was last
  // sent there. Receivers publish what they did not know.
  14: list<i32> reported_prompts
  15: list<i32> reported_servers
  16: list<i32> reported_ages_ms
  // Proof of the sender's forwarded requests, sent to the daemons that dispatch them.
  17: optional string sender
  18: optional string sender_token
  // Parallel lists: the hash of a server's id, the time that its responses to the sender took, and the age of the last of them.
  19: list<i32> delay_servers
  20: list<i32> delays_ms
  21: list<i32> delay_ages_ms
}
