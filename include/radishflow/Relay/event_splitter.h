// Declares event_splitter, which passes on whole events of a stream in their order.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace radishflow {

/// Splits a WHATWG event stream that arrives in pieces. Used by one thread.
class event_splitter {
public:
    /// Moves whole events from the input to the output. Returns false when an event's number does not follow the
    /// last one, so that the stream can't be passed on.
    bool feed(std::string& input, std::string& output);

    /// Number of the last event that was passed on.
    std::uint64_t lastId() const { return m_lastId; }
    bool hasIds() const { return m_hasIds; }

private:
    bool updateLastId(std::string_view event);

    std::uint64_t m_lastId = 0;
    bool m_hasIds = false;
};

} // namespace radishflow
