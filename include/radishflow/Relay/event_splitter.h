// Declares event_splitter, which extracts complete events from a stream and checks that their ids are consecutive.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace radishflow {

/// Splits a WHATWG event stream that arrives in pieces. Not thread-safe.
class event_splitter {
public:
    /// Moves complete events from the input to the output. Returns false if an id is not a number or is not the
    /// previous id plus one; the stream must not be forwarded further then.
    bool feed(std::string& input, std::string& output);

    /// Sets the id of the last event of a stream whose first events were sent by another server.
    void resumeAfter(std::uint64_t id)
    {
        m_lastId = id;
        m_hasIds = true;
    }

    /// Returns the id of the last event moved to the output.
    std::uint64_t lastId() const { return m_lastId; }
    /// Returns whether any event so far had an id.
    bool hasIds() const { return m_hasIds; }

private:
    bool updateLastId(std::string_view event);

    std::uint64_t m_lastId = 0;
    bool m_hasIds = false;
};

} // namespace radishflow
