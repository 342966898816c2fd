// Implements the decoding of bodies. Ambiguous framing is rejected, because two recipients that read the length
// differently would disagree on where the next message starts.
#include "radishflow/Requests/body_decoder.h"

#include "radishflow/Requests/parse_head.h"

#include <algorithm>
#include <charconv>
#include <string_view>

namespace radishflow {

static constexpr std::size_t maxChunkLineBytes = 4096; // Chunk extensions are checked and discarded.
static constexpr std::size_t maxTrailerBytes = 65536; // Trailers are checked and discarded as well.

static bool parseNumber(std::string_view text, int base, std::uint64_t& number)
{
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), number, base);
    return !text.empty() && parsed.ec == std::errc {} && parsed.ptr == text.data() + text.size();
}

body_decoder::body_decoder(framing kind, std::uint64_t length)
    : m_framing(kind)
    , m_remainingBytes(length)
{
    if (kind == framing::Length && length == 0)
        m_state = state::Complete;
}

std::optional<body_decoder> body_decoder::fromFields(const header_fields& fields, framing defaultFraming)
{
    const bool hasEncoding = fields.find("Transfer-Encoding") != nullptr;
    const std::size_t lengths = fields.count("Content-Length");
    if (hasEncoding) {
        const bool isChunked = fields.count("Transfer-Encoding") == 1 && equalsIgnoringCase(*fields.find("Transfer-Encoding"), "chunked");
        if (lengths > 0 || !isChunked)
            return std::nullopt;
        return body_decoder { framing::Chunks, 0 };
    }
    if (lengths == 0)
        return body_decoder { defaultFraming, 0 };
    std::uint64_t length = 0;
    if (lengths > 1 || !parseNumber(*fields.find("Content-Length"), 10, length))
        return std::nullopt;
    return body_decoder { framing::Length, length };
}

std::optional<body_decoder> body_decoder::forRequest(const request_head& head)
{
    return fromFields(head.fields, framing::Length);
}

std::optional<body_decoder> body_decoder::forResponse(const response_head& head, bool isResponseToHead)
{
    constexpr int noContent = 204;
    constexpr int notModified = 304;
    if (isResponseToHead || head.status < 200 || head.status == noContent || head.status == notModified)
        return body_decoder { framing::Length, 0 };
    return fromFields(head.fields, framing::UntilEnd);
}

body_decoder::state body_decoder::feed(std::string& input, std::string& output)
{
    if (m_state != state::Reading)
        return m_state;
    if (m_framing == framing::Chunks)
        return m_state = feedChunks(input, output);
    if (m_framing == framing::UntilEnd) {
        output += input;
        input.clear();
        return m_state;
    }
    moveBytes(input, output);
    return m_state = m_remainingBytes == 0 ? state::Complete : state::Reading;
}

void body_decoder::moveBytes(std::string& input, std::string& output)
{
    const auto count = static_cast<std::size_t>(std::min<std::uint64_t>(m_remainingBytes, input.size()));
    output.append(input, 0, count);
    input.erase(0, count);
    m_remainingBytes -= count;
}

// Returns false if the line is not complete yet.
bool body_decoder::extractLine(std::string& input, std::string& line)
{
    const auto end = input.find("\r\n");
    if (end == std::string::npos)
        return false;
    line = input.substr(0, end);
    input.erase(0, end + 2);
    return true;
}

bool body_decoder::parseChunkSize(const std::string& line)
{
    if (!isFieldValue(line))
        return false;
    std::string_view digits = std::string_view { line }.substr(0, line.find(';'));
    digits = digits.substr(0, digits.find_last_not_of(" \t") + 1);
    return parseNumber(digits, 16, m_remainingBytes);
}

body_decoder::state body_decoder::feedChunks(std::string& input, std::string& output)
{
    std::string line;
    while (true) {
        if (m_step == chunk_step::Data) {
            moveBytes(input, output);
            if (m_remainingBytes > 0)
                return state::Reading;
            m_step = chunk_step::DataEnd;
        }
        if (!extractLine(input, line))
            return input.size() > maxChunkLineBytes ? state::Malformed : state::Reading;
        if (m_step == chunk_step::Trailer) {
            if (line.empty())
                return state::Complete;
            header_fields discarded;
            m_trailerBytes += line.size();
            if (m_trailerBytes > maxTrailerBytes || !parseField(line, discarded))
                return state::Malformed;
            continue;
        }
        if (m_step == chunk_step::DataEnd) {
            if (!line.empty())
                return state::Malformed;
            m_step = chunk_step::Size;
            continue;
        }
        if (!parseChunkSize(line))
            return state::Malformed;
        m_step = m_remainingBytes == 0 ? chunk_step::Trailer : chunk_step::Data;
    }
}

} // namespace radishflow
