// Datagrams in which relaying daemons share what backend servers reported of their load; at most 1,200 bytes each.
namespace cpp radishflow.loads_wire

// Parallel lists: the hash of a server's id, and the requests that it had running and waiting.
struct LoadReports {
  1: list<i32> servers
  2: list<i32> loads
}
