// Implements the conversion between zone registers and rows.
#include "radishflow/Membership/zone_row.h"

#include <charconv>

namespace radishflow {

std::string zoneKeyOf(const zone_id& zone)
{
    return std::string(zoneKeyPrefix) + zone.value();
}

std::string zoneBytesOf(zone_state state)
{
    return state == zone_state::Out ? "out" : "in";
}

zone_state zoneStateOf(const fleet_register& value)
{
    return value.bytes == "out" ? zone_state::Out : zone_state::In;
}

std::string formatZoneRow(const fleet_register& value)
{
    return std::to_string(value.version) + ' ' + value.bytes + ' ' + std::to_string(value.stamp);
}

template <typename Number>
static bool parseNumber(std::string_view text, Number& number)
{
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    return error == std::errc {} && end == text.data() + text.size();
}

std::optional<fleet_register> parseZoneRow(std::string_view text)
{
    const std::size_t first = text.find(' ');
    const std::size_t second = first == std::string_view::npos ? first : text.find(' ', first + 1);
    if (second == std::string_view::npos)
        return std::nullopt;
    fleet_register value { .version = 0, .bytes = std::string(text.substr(first + 1, second - first - 1)), .stamp = 0 };
    if (!parseNumber(text.substr(0, first), value.version) || !parseNumber(text.substr(second + 1), value.stamp))
        return std::nullopt;
    const bool isState = value.bytes == "in" || value.bytes == "out";
    if (!isState || value.version == 0 || value.version > fleet_register::maxVersion)
        return std::nullopt;
    return value;
}

} // namespace radishflow
