// Messages between the daemons of one fleet.
namespace cpp radishflow.wire

// Whether a request was executed, as far as the daemon can establish.
enum Execution {
  NotRun = 1,
  Unknown = 2,
  Done = 3
}

// Reason for which a daemon did not accept a request.
struct Refusal {
  1: i32 status            // HTTP status for the caller
  2: string title
  3: string detail
  4: Execution execution
  5: i32 retryAfterMs      // delay before a retry; 0 when another server may be tried immediately
  6: bool tryNextServer    // the entry may try the next server in rank
  7: i32 runningThere      // requests at a server that refused because its share is used up; -1 otherwise
  8: bool hasRoom          // the server would accept the request although it does not hold the prefix
  9: double load = 1       // the server's load as a fraction of its current admission limit
  10: bool isHeld          // the server probably holds the request's prefix
}

// One attempt at one request, sent by the entry daemon to the owner of a backend server.
struct SubmitRequest {
  1: string requestId
  2: string attemptId      // unique; an owner runs an attempt at most once
  3: string serviceId
  4: string serverId
  5: string workspaceId
  6: string chatId
  7: string method
  8: string path
  9: string contentType
  10: binary body
  11: i32 priority         // RFC 9218 urgency, 0 first to 7 last
  12: i32 deadlineMs       // time remaining until the caller's deadline
  13: string idempotencyKey
  15: bool isModelCall
  16: i32 rank             // position of the server in the chat's ranking; 0 is the first
  17: i64 fingerprintHigh  // hash of workspace, service and body
  19: i64 fingerprintLow
  20: i32 witnessedRunning // requests at the other servers that refused this request because their share is used up
  18: i64 resumeAfter      // number of events that the caller has received; 0 starts from the beginning
  21: string prefix        // name of the chat's prefix as sent to an engine; empty without a chat
  22: bool onlyIfHeld      // accept only when the server probably holds the prefix
  23: string holderId      // server that holds the prefix but has no capacity; empty when none is known
}

struct SubmitReply {
  1: bool accepted
  2: string streamId
  3: optional Refusal refusal
}

// A part of a response; offsets count the bytes of the response body.
struct ReadReply {
  1: binary data
  2: i64 offset
  3: bool finished         // no byte follows the end of data
  4: bool broken           // the response was truncated and will not continue
  5: i32 status            // HTTP status; 0 until the first part has arrived
  6: string contentType
  7: optional Refusal refusal
}

// A request was in flight when a backend server crashed. Clocks differ, so the remaining time is sent.
struct CrashRecord {
  1: i64 fingerprintHigh
  2: i64 fingerprintLow
  3: string serverId
  4: i32 remainingMs
}

// The configuration that a daemon applies; version 0 when it has none newer than the requested version.
struct Configuration {
  1: i64 version
  2: string objectKey
  3: map<string, binary> objects
}

service Peer {
  SubmitReply submit(1: SubmitRequest request)
  // Waits up to waitMs for bytes at the offset; bytes before the offset are freed.
  ReadReply read(1: string streamId, 2: i64 offset, 3: i32 waitMs, 4: i32 maxBytes)
  void cancel(1: string streamId)
  void learnCrashes(1: list<CrashRecord> records)
  Configuration configuration(1: i64 above)
}
