// Implements the queries on header fields.
#include "radishflow/Requests/message_head.h"

#include <algorithm>
#include <array>

namespace radishflow {

static char toLower(char letter)
{
    return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter - 'A' + 'a') : letter;
}

bool equalsIgnoringCase(std::string_view left, std::string_view right)
{
    return left.size() == right.size() && std::equal(left.begin(), left.end(), right.begin(), [](char one, char other) { return toLower(one) == toLower(other); });
}

static std::string_view trimmed(std::string_view text)
{
    const auto begin = text.find_first_not_of(" \t");
    if (begin == std::string_view::npos)
        return {};
    return text.substr(begin, text.find_last_not_of(" \t") - begin + 1);
}

const std::string* header_fields::find(std::string_view name) const
{
    const auto found = std::find_if(all.begin(), all.end(), [&](const header_field& field) { return equalsIgnoringCase(field.name, name); });
    return found == all.end() ? nullptr : &found->value;
}

bool header_fields::hasToken(std::string_view name, std::string_view token) const
{
    for (const header_field& field : all) {
        if (!equalsIgnoringCase(field.name, name))
            continue;
        std::string_view rest = field.value;
        while (!rest.empty()) {
            const auto comma = std::min(rest.find(','), rest.size());
            if (equalsIgnoringCase(trimmed(rest.substr(0, comma)), token))
                return true;
            rest.remove_prefix(std::min(comma + 1, rest.size()));
        }
    }
    return false;
}

std::size_t header_fields::count(std::string_view name) const
{
    return static_cast<std::size_t>(std::count_if(all.begin(), all.end(), [&](const header_field& field) { return equalsIgnoringCase(field.name, name); }));
}

bool keepsConnection(int minorVersion, const header_fields& fields)
{
    if (fields.hasToken("Connection", "close"))
        return false;
    return minorVersion >= 1 || fields.hasToken("Connection", "keep-alive");
}

bool isHopByHop(const header_fields& fields, std::string_view name)
{
    static constexpr std::array<std::string_view, 10> hopByHopFields { "Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "TE", "Trailer", "Transfer-Encoding", "Upgrade", "Expect" };
    return std::any_of(hopByHopFields.begin(), hopByHopFields.end(), [&](std::string_view field) { return equalsIgnoringCase(field, name); }) || fields.hasToken("Connection", name);
}

} // namespace radishflow
