// Implements the parser of an engine's cache events.
#include "radishflow/Daemon/cache_event_page.h"

#include "radishflow/Placement/placement_request.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

namespace radishflow {

// A prefix name in another format was not created by a daemon and is never looked up. Its removal affects no known
// prefix.
static cache_event eventOf(const Poco::JSON::Object& entry)
{
    const auto type = entry.getValue<std::string>("type");
    cache_event event { .sequence = entry.getValue<Poco::UInt64>("seq") };
    std::uint64_t prefix = 0;
    if (parsePrefixName(entry.optValue<std::string>("prefix", ""), prefix))
        event.prefix = prefix;
    if (type == "cleared")
        event.kind = cache_event_kind::Cleared;
    else if (type != "stored" || event.prefix == 0)
        event.kind = cache_event_kind::Removed;
    return event;
}

std::optional<cache_event_page> parseCacheEvents(const std::string& text)
{
    constexpr int maxDepth = 8;
    try {
        Poco::JSON::Parser parser;
        parser.setDepth(maxDepth);
        const auto object = parser.parse(text).extract<Poco::JSON::Object::Ptr>();
        cache_event_page page { .next = object->getValue<Poco::UInt64>("next") };
        const auto entries = object->getArray("events");
        for (std::size_t index = 0; entries && index < entries->size(); ++index) {
            const auto entry = entries->getObject(static_cast<unsigned>(index));
            if (!entry)
                return std::nullopt;
            page.events.push_back(eventOf(*entry));
        }
        return page;
    } catch (const Poco::Exception&) {
        return std::nullopt;
    }
}

} // namespace radishflow
