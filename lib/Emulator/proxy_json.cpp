// Implements the JSON of the fault proxy's control.
#include "proxy_json.h"

#include <Poco/Exception.h>

namespace radishflow {

proxy_rules changedRules(proxy_rules rules, const Poco::JSON::Object& changes)
{
    rules.delay = std::chrono::milliseconds { changes.optValue<int>("delay_ms", static_cast<int>(rules.delay.count())) };
    rules.isCut = changes.optValue<bool>("cut", rules.isCut);
    rules.isHalfOpen = changes.optValue<bool>("half_open", rules.isHalfOpen);
    rules.bytesPerSecond = changes.optValue<Poco::Int64>("throttle_bytes_per_s", rules.bytesPerSecond);
    rules.seed = changes.optValue<Poco::UInt64>("seed", rules.seed);
    rules.cutProbability = changes.optValue<double>("cut_probability", rules.cutProbability);
    if (!changes.has("one_way"))
        return rules;
    const auto way = changes.getValue<std::string>("one_way");
    if (way != "up" && way != "down" && !way.empty())
        throw Poco::DataFormatException("one_way has to be up, down or empty");
    rules.dropsUp = way == "up";
    rules.dropsDown = way == "down";
    return rules;
}

Poco::JSON::Object::Ptr encodeCounts(const proxy_counts& counts)
{
    Poco::JSON::Object::Ptr encoded = new Poco::JSON::Object;
    encoded->set("accepted", counts.accepted);
    encoded->set("cuts", counts.cuts);
    encoded->set("bytes_up", counts.bytesUp);
    encoded->set("bytes_down", counts.bytesDown);
    encoded->set("bytes_dropped", counts.bytesDropped);
    return encoded;
}

} // namespace radishflow
