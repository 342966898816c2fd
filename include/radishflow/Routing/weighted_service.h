// Declares weighted_service, one target of a route whose requests are split among services.
#pragma once

#include "radishflow/Support/ids.h"

namespace radishflow {

struct weighted_service {
    service_id service;
    int weight = 1; ///< Share of the route's requests relative to the weights of the other targets.
};

} // namespace radishflow
