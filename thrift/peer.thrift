// Messages between the daemons of one fleet.
namespace cpp radishflow.wire

// What is known about whether a request ran.
enum Execution {
  NotRun = 1,
  Unknown = 2,
  Done = 3
}

// Why a daemon did not take a request.
struct Refusal {
  1: i32 status            // HTTP status for the caller
  2: string title
  3: string detail
  4: Execution execution
  5: i32 retryAfterMs      // when to come back; 0 when another server may be tried at once
  6: bool tryNextServer    // the entry may try the next server in rank
  7: i32 runningThere      // requests at the server that refused for its share; -1 otherwise
  8: bool hasRoom          // the server would take the request although its prefix is not held
  9: double load = 1       // the server's load as a share of what it admits now
  10: bool isHeld          // the server probably holds the request's prefix
}

// One attempt at one request, from an entry to the owner of a backend server.
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
  12: i32 deadlineMs       // time left to the caller's deadline
  13: string idempotencyKey
  15: bool isModelCall
  16: i32 rank             // place of the server in the chat's rank; 0 is the first
  17: i64 fingerprintHigh  // hash of workspace, service and body
  19: i64 fingerprintLow
  20: i32 witnessedRunning // requests at the other servers that refused this request for their share
  18: i64 resumeAfter      // events that the caller already has; 0 starts anew
  21: string prefix        // name of the chat's prefix towards an engine; empty without a chat
  22: bool onlyIfHeld      // take it only when the prefix is believed to be held
  23: string holderId      // server that holds the prefix and has no room; empty when none is known
}

struct SubmitReply {
  1: bool accepted
  2: string streamId
  3: optional Refusal refusal
}

// A part of an answer; offsets count the bytes of the answer's body.
struct ReadReply {
  1: binary data
  2: i64 offset
  3: bool finished         // no byte follows the end of data
  4: bool broken           // the answer ended short and will not continue
  5: i32 status            // HTTP status, known once a first part is there; 0 before
  6: string contentType
  7: optional Refusal refusal
}

// A request was in flight when a server crashed. Clocks differ, so the time left is sent.
struct CrashRecord {
  1: i64 fingerprintHigh
  2: i64 fingerprintLow
  3: string serverId
  4: i32 remainingMs
}

// The configuration that a daemon has in force; version 0 for none above the one that was asked for.
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
