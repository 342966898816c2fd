// Implements the hash and the prefix name of a chat.
#include "radishflow/Placement/placement_request.h"

#include "radishflow/Support/hashing.h"

#include <charconv>

namespace radishflow {

static constexpr std::size_t prefixDigits = 16;
static constexpr int hexadecimal = 16;

std::uint64_t hashOfChat(const service_id& service, const chat_id& chat)
{
    return stableHash(service.value(), chat.value());
}

std::string prefixName(std::uint64_t chatHash)
{
    char digits[prefixDigits];
    const auto written = std::to_chars(digits, digits + prefixDigits, chatHash, hexadecimal);
    const auto length = static_cast<std::size_t>(written.ptr - digits);
    return std::string(prefixDigits - length, '0') + std::string(digits, length);
}

bool parsePrefixName(const std::string& name, std::uint64_t& chatHash)
{
    if (name.size() != prefixDigits)
        return false;
    const auto read = std::from_chars(name.data(), name.data() + name.size(), chatHash, hexadecimal);
    return read.ec == std::errc {} && read.ptr == name.data() + name.size();
}

} // namespace radishflow
