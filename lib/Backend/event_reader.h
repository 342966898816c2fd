// Declares event_reader, which splits an event stream into whole events.
#pragma once

#include <cstdint>
#include <istream>
#include <string>

namespace radishflow {

/// One event of a WHATWG event stream as it came, with its number.
struct stream_event {
    std::string text; ///< All lines and the empty line that ends it.
    std::uint64_t number = 0; ///< The `id:` line; 0 for none.
    bool isLast = false; ///< The `[DONE]` event of an OpenAI-style stream.
};

/// Reads events from a stream; an event that the stream cuts short is not returned.
class event_reader {
public:
    explicit event_reader(std::istream& in)
        : m_in(in)
    {
    }

    /// Returns false at the end of the stream or when it breaks.
    bool next(stream_event&);

private:
    std::istream& m_in;
};

} // namespace radishflow
