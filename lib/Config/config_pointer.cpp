// Implements the row that names the configuration in force.
#include "radishflow/Config/config_pointer.h"

#include "radishflow/Support/hashing.h"

#include <array>
#include <charconv>
#include <cstdio>

namespace radishflow {

static constexpr std::string_view objectKeyPrefix = "config/";
static constexpr std::uint64_t secondHashSeed = 0x9e3779b97f4a7c15ULL;

std::string encode(const config_pointer& pointer)
{
    return std::to_string(pointer.version.value()) + " " + pointer.objectKey;
}

result<config_pointer> decodeConfigPointer(const std::string& value)
{
    std::uint64_t version = 0;
    const auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), version);
    const auto digits = static_cast<std::size_t>(end - value.data());
    const bool isValid = error == std::errc {} && version > 0 && value.size() > digits + 1 && value[digits] == ' ';
    if (!isValid)
        return fail({ .code = failure_code::Broken, .step = "read configuration version", .peer = "table", .detail = value });
    return config_pointer { .version = config_version { version }, .objectKey = value.substr(digits + 1) };
}

// 128 bits in two hashes of different seeds: publishers are trusted operators, so a chance collision is
// the only one to exclude, and the publisher compares the stored text besides.
std::string configObjectKey(const std::string& text)
{
    std::array<char, 33> digits {};
    const unsigned long long first = stableHash(text);
    const unsigned long long second = stableHash(text, secondHashSeed);
    const int length = std::snprintf(digits.data(), digits.size(), "%016llx%016llx", first, second);
    return std::string(objectKeyPrefix) + std::string(digits.data(), static_cast<std::size_t>(length));
}

} // namespace radishflow
