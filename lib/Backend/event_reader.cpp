// Implements the splitting of an event stream.
#include "event_reader.h"

#include <charconv>
#include <string_view>

namespace radishflow {

static constexpr std::size_t longestEvent = 1 << 20;

static void readLine(std::string_view line, stream_event& event)
{
    constexpr std::string_view idField = "id:";
    if (line.starts_with(idField)) {
        line.remove_prefix(idField.size());
        if (line.starts_with(' '))
            line.remove_prefix(1);
        std::from_chars(line.data(), line.data() + line.size(), event.number);
        return;
    }
    event.isLast = event.isLast || line == "data: [DONE]" || line == "data:[DONE]";
}

bool event_reader::next(stream_event& event)
{
    event = stream_event {};
    std::string line;
    while (std::getline(m_in, line)) {
        if (!line.empty() && line.back() == '\r')
            line.pop_back();
        event.text += line;
        event.text += '\n';
        if (line.empty())
            return true;
        if (event.text.size() > longestEvent)
            return false;
        readLine(line, event);
    }
    return false;
}

} // namespace radishflow
