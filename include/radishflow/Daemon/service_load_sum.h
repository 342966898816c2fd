// Declares service_load_sum, the load of one service at one owner.
#pragma once

#include "radishflow/Support/ids.h"

namespace radishflow {

struct service_load_sum {
    service_id service;
    int running = 0;
    int servers = 0;
};

} // namespace radishflow
