// Declares service_settings, what an operator declares of one service.
#pragma once

#include "radishflow/Config/duration_range.h"
#include "radishflow/Config/repeat_rule.h"
#include "radishflow/Config/service_kind.h"
#include "radishflow/Support/ids.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace radishflow {

/// Settings of one service; docs/service-files.md lists their ranges.
struct service_settings {
    service_id id;
    service_kind kind = service_kind::Plain;
    std::vector<model_id> models; ///< Only for model services; a model belongs to one service.
    int coldLimit = 1; ///< Concurrent requests that one cold server bears.
    int serverLimit = 8; ///< Concurrent requests that one warm server bears.
    double loadMultiple = 1.5; ///< No server carries more than this multiple of the mean load.
    duration requestTimeout = std::chrono::seconds { 60 };
    duration_range firstTokenRange { .atLeast = {}, .atMost = std::chrono::seconds { 2 } }; ///< Of a warm engine.
    std::int64_t maxBodyBytes = 1'048'576; ///< Longest request body.
    std::vector<repeat_rule> repeatRules; ///< Only for plain services.
    bool checksFencing = false; ///< Its servers refuse an older fencing number.

    friend bool operator==(const service_settings&, const service_settings&) = default;
};

/// Whether a call may be sent twice. The longest matching rule decides; without one, GET and HEAD of a
/// plain service and all calls of a model service are repeatable.
bool isRepeatable(const service_settings&, std::string_view method, std::string_view path);

} // namespace radishflow
