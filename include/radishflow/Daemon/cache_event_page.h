// Declares cache_event_page, one page of an engine's cache events.
#pragma once

#include "radishflow/Placement/cache_event.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace radishflow {

struct cache_event_page {
    std::vector<cache_event> events;
    std::uint64_t next = 0; ///< Sequence number at which the next page starts.
};

/// Parses the JSON body of GET /kv/events; returns nothing when it is invalid. Events of prefixes that were not named
/// by a daemon become events of prefix 0, because omitting them would look like a gap in the sequence.
std::optional<cache_event_page> parseCacheEvents(const std::string& text);

} // namespace radishflow
