// An object store in memory with faults, for tests of decision logic.
#pragma once

#include "radishflow/Config/object_store.h"

#include <map>
#include <string>

namespace radishflow {

/// Not thread-safe. Counts of faults go down with each use.
class memory_object_store {
public:
    bool isDown = false;
    int loseReplies = 0; ///< So many puts take effect and fail as ReplyLost.
    int gets = 0;
    std::map<std::string, std::string> objects;

    result<void> putObject(const std::string& key, const std::string& bytes)
    {
        if (isDown)
            return fail({ .code = failure_code::Unreachable, .step = "put object", .peer = "memory" });
        const bool isNew = objects.try_emplace(key, bytes).second;
        if (loseReplies > 0) {
            --loseReplies;
            return fail({ .code = failure_code::ReplyLost, .step = "put object", .peer = "memory" });
        }
        if (!isNew)
            return fail({ .code = failure_code::Conflict, .step = "put object", .peer = "memory" });
        return {};
    }

    result<std::string> getObject(const std::string& key)
    {
        ++gets;
        if (isDown)
            return fail({ .code = failure_code::Unreachable, .step = "get object", .peer = "memory" });
        const auto object = objects.find(key);
        if (object == objects.end())
            return fail({ .code = failure_code::NotFound, .step = "get object", .peer = "memory" });
        return object->second;
    }
};

static_assert(object_store<memory_object_store>);

} // namespace radishflow
