// Implements the parsing of heads. POCO's parser is not used because it accepts heads that other implementations interpret
// differently (bare line feeds, folded lines, a byte 0xFF as the end), which a relay must not forward.
#include "radishflow/Requests/parse_head.h"

#include <algorithm>
#include <charconv>
#include <optional>

namespace radishflow {

static constexpr std::string_view lineEnd = "\r\n";
static constexpr std::string_view headEnd = "\r\n\r\n";

static bool isTokenCharacter(char letter)
{
    constexpr std::string_view marks = "!#$%&'*+-.^_`|~";
    return (letter >= '0' && letter <= '9') || (letter >= 'a' && letter <= 'z') || (letter >= 'A' && letter <= 'Z') || marks.find(letter) != std::string_view::npos;
}

static bool isToken(std::string_view text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), isTokenCharacter);
}

static bool isVisible(char letter)
{
    return static_cast<unsigned char>(letter) > ' ' && letter != '\x7f';
}

static bool isValueCharacter(char letter)
{
    return isVisible(letter) || letter == ' ' || letter == '\t';
}

bool isFieldValue(std::string_view text)
{
    return std::all_of(text.begin(), text.end(), isValueCharacter);
}

static std::optional<int> minorVersionOf(std::string_view version)
{
    if (version == "HTTP/1.1")
        return 1;
    if (version == "HTTP/1.0")
        return 0;
    return std::nullopt;
}

bool parseField(std::string_view line, header_fields& fields)
{
    const auto colon = line.find(':');
    if (colon == std::string_view::npos || !isToken(line.substr(0, colon)))
        return false;
    std::string_view value = line.substr(colon + 1);
    const auto begin = std::min(value.find_first_not_of(" \t"), value.size());
    value.remove_prefix(begin);
    value = value.substr(0, value.find_last_not_of(" \t") + 1);
    if (!isFieldValue(value))
        return false;
    fields.all.push_back({ .name = std::string { line.substr(0, colon) }, .value = std::string { value } });
    return true;
}

static bool parseFields(std::string_view lines, header_fields& fields)
{
    while (!lines.empty()) {
        const auto end = lines.find(lineEnd);
        if (end == std::string_view::npos || !parseField(lines.substr(0, end), fields))
            return false;
        lines.remove_prefix(end + lineEnd.size());
    }
    return true;
}

static bool parseRequestLine(std::string_view line, request_head& head)
{
    const auto first = line.find(' ');
    const auto last = line.rfind(' ');
    if (first == std::string_view::npos || first == last)
        return false;
    const std::string_view method = line.substr(0, first);
    const std::string_view target = line.substr(first + 1, last - first - 1);
    const auto version = minorVersionOf(line.substr(last + 1));
    if (!isToken(method) || target.empty() || !std::all_of(target.begin(), target.end(), isVisible) || !version)
        return false;
    head.method = method;
    head.target = target;
    head.minorVersion = *version;
    return true;
}

static bool parseStatusLine(std::string_view line, response_head& head)
{
    constexpr std::size_t versionLength = 8;
    constexpr std::size_t statusLength = 3;
    const auto version = minorVersionOf(line.substr(0, versionLength));
    if (!version || line.size() < versionLength + 1 + statusLength || line[versionLength] != ' ')
        return false;
    const std::string_view status = line.substr(versionLength + 1, statusLength);
    const auto parsed = std::from_chars(status.data(), status.data() + status.size(), head.status);
    if (parsed.ptr != status.data() + status.size() || head.status < 100 || head.status > 599)
        return false;
    const std::string_view rest = line.substr(versionLength + 1 + statusLength);
    if (!rest.empty() && (rest.front() != ' ' || !isFieldValue(rest)))
        return false;
    head.reason = rest.empty() ? rest : rest.substr(1);
    head.minorVersion = *version;
    return true;
}

template <typename Head, typename FirstLineParser>
static parse_state parseHead(std::string_view input, std::size_t maxBytes, Head& head, std::size_t& length, FirstLineParser parseFirstLine)
{
    const auto end = input.find(headEnd);
    if (end == std::string_view::npos)
        return input.size() > maxBytes ? parse_state::TooLarge : parse_state::Incomplete;
    if (end + headEnd.size() > maxBytes)
        return parse_state::TooLarge;
    length = end + headEnd.size();
    const std::string_view lines = input.substr(0, end + lineEnd.size());
    const auto first = lines.find(lineEnd);
    head = {};
    if (!parseFirstLine(lines.substr(0, first), head) || !parseFields(lines.substr(first + lineEnd.size()), head.fields))
        return parse_state::Malformed;
    return parse_state::Complete;
}

parse_state parseRequestHead(std::string_view input, std::size_t maxBytes, request_head& head, std::size_t& length)
{
    return parseHead(input, maxBytes, head, length, parseRequestLine);
}

parse_state parseResponseHead(std::string_view input, std::size_t maxBytes, response_head& head, std::size_t& length)
{
    return parseHead(input, maxBytes, head, length, parseStatusLine);
}

} // namespace radishflow
