// Declares which other backend server probably holds the prompt of a request.
#pragma once

#include "radishflow/Routing/listed_server.h"

#include <cstdint>
#include <span>

namespace radishflow {

/// Answers the prompts that move when servers come and go or a hot one spills: the servers of a service rank by
/// affinity, so the one that took a prompt's requests until now is known without a table of chats. Returns null where
/// the chosen server itself should hold it.
const listed_server* cacheSourceFor(std::span<const listed_server* const> servers, const listed_server& chosen, std::uint64_t affinity, time_point now);

} // namespace radishflow
