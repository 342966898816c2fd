// Declares the search for another backend server whose cache probably holds the prompt of a request.
#pragma once

#include "radishflow/Routing/listed_server.h"

#include <cstdint>
#include <span>

namespace radishflow {

/// Returns the server from which the chosen server can copy the prompt, or null if the chosen server should hold it
/// itself. A prompt moves when servers join or leave, or when a hot prompt exceeds the load bound of its server. Its
/// previous server follows from the rendezvous rank, without a table of prompts.
const listed_server* cacheSourceFor(std::span<const listed_server* const> servers, const listed_server& chosen, std::uint64_t affinity, time_point now);

/// Returns the server of the highest rank other than the chosen one, or null if there is none. A prompt of which no holder is known was
/// probably sent to one of the first two ranks before, such as by daemons that have restarted since. A server that was listed later than the
/// chosen one is no source, as it holds nothing that was sent before.
const listed_server* firstOfOtherRanks(std::span<const listed_server* const> servers, const listed_server& chosen, std::uint64_t affinity);

} // namespace radishflow
