// Declares body_decoder, which takes the framing off a message's body as it arrives.
#pragma once

#include "radishflow/Relay/message_head.h"

#include <cstdint>
#include <optional>
#include <string>

namespace radishflow {

/// Decodes one body. Used by one thread.
class body_decoder {
public:
    enum class state {
        Reading,
        Whole,
        Malformed,
    };

    /// Returns nothing when the length is not clear.
    static std::optional<body_decoder> ofRequest(const request_head&);
    static std::optional<body_decoder> ofResponse(const response_head&, bool isAnswerToHead);

    /// Moves decoded bytes from the input to the output; bytes behind the body stay in the input.
    state feed(std::string& input, std::string& output);
    /// The connection has ended cleanly; returns whether the body is whole.
    bool endsWithConnection() const { return m_framing == framing::UntilEnd; }
    bool isWhole() const { return m_state == state::Whole; }

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
    static std::optional<body_decoder> ofLength(const header_fields&, framing otherwise);
    state feedChunks(std::string& input, std::string& output);
    bool takeLine(std::string& input, std::string& line);
    bool takeSize(const std::string& line);
    void moveBytes(std::string& input, std::string& output);

    framing m_framing;
    chunk_step m_step = chunk_step::Size;
    state m_state = state::Reading;
    std::uint64_t m_left = 0; ///< Bytes of the body, or of the current chunk.
};

} // namespace radishflow
