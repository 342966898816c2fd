// Converts between a zone's register and its row in the platform's table.
#pragma once

#include "radishflow/Membership/fleet_register.h"
#include "radishflow/Membership/zone_state.h"
#include "radishflow/Support/ids.h"

#include <optional>
#include <string>
#include <string_view>

namespace radishflow {

/// Prefix of the rows and registers of zones.
inline constexpr std::string_view zoneKeyPrefix = "zones/";

std::string zoneKeyOf(const zone_id&);

/// Returns "in" or "out". "out" compares greater, so it wins between values of equal version.
std::string zoneBytesOf(zone_state);
zone_state zoneStateOf(const fleet_register&);

/// Returns "VERSION in|out STAMP".
std::string formatZoneRow(const fleet_register&);
/// Returns nothing if the text is not a valid zone row.
std::optional<fleet_register> parseZoneRow(std::string_view);

} // namespace radishflow
