// Declares server_hints, what daemons tell each other of backend servers.
#pragma once

#include "radishflow/Admission/crash_record.h"
#include "radishflow/Routing/prompt_holder.h"
#include "radishflow/Routing/shared_load.h"

#include <vector>

namespace radishflow {

struct server_hints {
    std::vector<shared_load> loads;
    std::vector<crash_record> crashes;
    std::vector<prompt_holder> homes;
};

} // namespace radishflow
