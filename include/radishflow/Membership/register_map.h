// Declares register_map, one daemon's copy of the fleet's registers.
#pragma once

#include "radishflow/Membership/fleet_register.h"

#include <functional>
#include <map>
#include <string>

namespace radishflow {

using register_map = std::map<std::string, fleet_register, std::less<>>;

} // namespace radishflow
