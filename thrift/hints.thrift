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
}
