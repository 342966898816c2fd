// Declares body_decoder, which incrementally removes the HTTP/1.1 framing (length or chunks) from a message body.
#pragma once

#include "radishflow/Requests/message_head.h"

#include <cstdint>
#include <optional>
#include <string>

namespace radishflow {

/// Decodes one body. Not thread-safe.
class body_decoder {
public:
    enum class state {
        Reading,
        Complete,
        Malformed,
    };

    /// Returns nothing if the head does not determine the length of the body unambiguously.
    static std::optional<body_decoder> forRequest(const request_head&);
    static std::optional<body_decoder> forResponse(const response_head&, bool isResponseToHead);

    /// Moves decoded bytes from the input to the output. Bytes after the end of the body stay in the input.
    state feed(std::string& input, std::string& output);
    /// Returns whether the body is complete when the peer closes the connection cleanly.
    bool endsWithConnection() const { return m_framing == framing::UntilEnd; }
    /// Returns the number of bytes of the body that have not been received; 0 if only its end will show how many.
    std::uint64_t remainingBytes() const { return m_framing == framing::Length ? m_remainingBytes : 0; }
    bool isComplete() const { return m_state == state::Complete; }

private:
    enum class framing {
        Length,
        Chunks,
        UntilEnd,
    };
    enum class chunk_step {
        Size,
        Data,
        DataEnd,
        Trailer,
    };

    body_decoder(framing, std::uint64_t length);
    static std::optional<body_decoder> fromFields(const header_fields&, framing defaultFraming);
    state feedChunks(std::string& input, std::string& output);
    bool extractLine(std::string& input, std::string& line);
    bool parseChunkSize(const std::string& line);
    void moveBytes(std::string& input, std::string& output);

    framing m_framing;
    chunk_step m_step = chunk_step::Size;
    state m_state = state::Reading;
    std::size_t m_trailerBytes = 0;
    std::uint64_t m_remainingBytes = 0; ///< Bytes not yet received of the body, or of the current chunk.
};

} // namespace radishflow
