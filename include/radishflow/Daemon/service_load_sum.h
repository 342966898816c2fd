// Declares service_load_sum, what one owner runs of one service.
#pragma once

#include "radishflow/Support/ids.h"

namespace radishflow {

struct service_load_sum {
    service_id service;
    int running = 0;
    int servers = 0;
};

} // namespace radishflow
