// Declares cache_event_page, one answer of an engine to a question for its cache events.
#pragma once

#include "radishflow/Placement/cache_event.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace radishflow {

struct cache_event_page {
    std::vector<cache_event> events;
    std::uint64_t next = 0; ///< The number from which to read on.
};

/// Reads the JSON of GET /kv/events; none when it is not valid. Events of prefixes that no daemon named are kept
/// as events of prefix 0, since leaving them out would look like a gap.
std::optional<cache_event_page> parseCacheEvents(const std::string& text);

} // namespace radishflow
