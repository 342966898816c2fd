// Implements the splitting of event streams.
#include "radishflow/Relay/event_splitter.h"

#include <algorithm>
#include <charconv>
#include <string_view>

namespace radishflow {

static std::size_t endOfEvent(std::string_view text)
{
    const auto plain = text.find("\n\n");
    const auto withReturns = text.find("\r\n\r\n");
    if (plain == std::string_view::npos && withReturns == std::string_view::npos)
        return std::string_view::npos;
    if (plain < withReturns)
        return plain + 2;
    return withReturns + 4;
}

bool event_splitter::feed(std::string& input, std::string& output)
{
    std::size_t consumed = 0;
    while (true) {
        const std::string_view rest = std::string_view { input }.substr(consumed);
        const std::size_t length = endOfEvent(rest);
        if (length == std::string_view::npos)
            break;
        if (!updateLastId(rest.substr(0, length)))
            return false;
        output.append(rest.substr(0, length));
        consumed += length;
    }
    input.erase(0, consumed);
    return true;
}

bool event_splitter::updateLastId(std::string_view event)
{
    constexpr std::string_view field = "id:";
    while (!event.empty()) {
        const auto end = std::min(event.find('\n'), event.size());
        std::string_view line = event.substr(0, end);
        event.remove_prefix(std::min(end + 1, event.size()));
        if (!line.starts_with(field))
            continue;
        line.remove_prefix(field.size());
        line.remove_prefix(std::min(line.find_first_not_of(' '), line.size()));
        std::uint64_t id = 0;
        if (std::from_chars(line.data(), line.data() + line.size(), id).ec != std::errc {})
            return false;
        if (m_hasIds && id != m_lastId + 1)
            return false;
        m_lastId = id;
        m_hasIds = true;
    }
    return true;
}

} // namespace radishflow
