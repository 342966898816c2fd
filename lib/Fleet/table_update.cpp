// Implements the encoding of table_update in the fleet's register.
#include "radishflow/Fleet/table_update.h"

#include <algorithm>
#include <charconv>

namespace radishflow {

static constexpr char separator = ' ';
static constexpr std::size_t revisionDigits = 20; // Of the largest 64-bit number.

// Of two values with the same store time the register keeps the greater bytes, which must be those of the later change. The
// readings follow as their distances from storeTime; earlier versions of the daemon ignore them.
std::string table_update::encode() const
{
    std::string bytes = std::to_string(lastChangeRevision);
    bytes.insert(0, revisionDigits - bytes.size(), '0');
    for (const std::chrono::milliseconds reading : recentReadings) {
        if (reading <= storeTime)
            bytes += separator + std::to_string((storeTime - reading).count());
    }
    return bytes;
}

table_update table_update::decode(std::string_view bytes, std::chrono::milliseconds storeTime, std::uint64_t era)
{
    table_update update { .storeTime = storeTime, .lastChangeRevision = 0, .era = era, .recentReadings = {} };
    const char* const end = bytes.data() + bytes.size();
    auto parsed = std::from_chars(bytes.data(), end, update.lastChangeRevision);
    while (parsed.ec == std::errc {} && parsed.ptr != end && *parsed.ptr == separator) {
        std::uint32_t age = 0;
        parsed = std::from_chars(parsed.ptr + 1, end, age);
        if (parsed.ec == std::errc {} && std::chrono::milliseconds { age } <= storeTime)
            update.recentReadings.push_back(storeTime - std::chrono::milliseconds { age });
    }
    return update;
}

} // namespace radishflow
