// Declares register_map, the fleet's registers as one daemon knows them.
#pragma once

#include "radishflow/Membership/fleet_register.h"

#include <functional>
#include <map>
#include <string>

namespace radishflow {

using register_map = std::map<std::string, fleet_register, std::less<>>;

} // namespace radishflow
