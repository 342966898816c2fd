// Datagrams in which relaying daemons publish and look up which software version of a backend server began a stream; at most
// 1,200 bytes each.
namespace cpp radishflow.stream_origins_wire

struct StreamOrigin {
  1: i64 stream // Hash of the id of the request that brought the first event.
  2: i64 version // Hash of the service and the version; 0 if the sender does not know it.
}

struct StreamOrigins {
  1: list<StreamOrigin> origins
  2: list<i64> queries // Streams whose origins the sender asks for.
}
