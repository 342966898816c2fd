// Implements the reception of one request from a caller.
#include "radishflow/Relay/request_reader.h"

#include "radishflow/Requests/body_decoder.h"
#include "radishflow/Requests/parse_head.h"
#include "radishflow/Support/boottime_clock.h"

#include <chrono>

namespace radishflow {

// Maximum time to receive a body, counted from the end of the head. The operator's limits include timeouts for the head and
// for idle connections only.
static constexpr std::chrono::seconds bodyTimeout { 10 };
static constexpr std::size_t uncountedBytes = 16384; // Of a body that is read also if there is no room for large ones.
static constexpr std::chrono::milliseconds noRoomRetryAfter { 250 };

static refusal badRequest(const char* detail)
{
    return { .status = 400, .title = "Bad request", .detail = detail };
}

static std::optional<refusal> readHead(relay_socket& socket, const caller_limits& limits, caller_message& message, read_result& result)
{
    const time_point deadline = boottime_clock {}.now() + limits.headTimeout;
    while (true) {
        std::size_t length = 0;
        switch (parseRequestHead(socket.input(), limits.headBytes, message.head, length)) {
        case parse_state::Complete:
            socket.input().erase(0, length);
            return std::nullopt;
        case parse_state::TooLarge:
            return refusal { .status = 431, .title = "Request header fields too large", .detail = "the head is larger than the operator's limit" };
        case parse_state::Malformed:
            return badRequest("the head is not valid HTTP/1.1");
        case parse_state::Incomplete:
            break;
        }
        const io_outcome outcome = socket.receive(deadline);
        if (outcome == io_outcome::TimedOut && !socket.input().empty())
            return refusal { .status = 408, .title = "Request timeout", .detail = "the head did not arrive in time" };
        if (outcome != io_outcome::Done) {
            result.isClosed = true;
            return std::nullopt;
        }
        if (message.receivedAt == time_point {})
            message.receivedAt = boottime_clock {}.now();
    }
}

static refusal bodyTooLarge()
{
    return { .status = 413, .title = "Content too large", .detail = "the body is larger than the operator's limit" };
}

static refusal noRoomForBody()
{
    return { .status = 503, .title = "No room for the body", .detail = "this daemon holds as many bodies as its memory allows", .retryAfter = noRoomRetryAfter };
}

static std::optional<refusal> readBody(relay_socket& socket, const caller_limits& limits, caller_message& message, read_result& result)
{
    auto decoder = body_decoder::forRequest(message.head);
    if (!decoder || message.head.fields.count("Host") != 1)
        return badRequest("the length of the body or the host is not clear");
    if (decoder->remainingBytes() > limits.bodyBytes)
        return bodyTooLarge();
    const auto declared = static_cast<std::size_t>(decoder->remainingBytes());
    if (declared > uncountedBytes && !message.bodyShare.tryGrow(declared))
        return noRoomForBody();
    message.body.reserve(declared);
    const time_point deadline = boottime_clock {}.now() + bodyTimeout;
    if (message.head.fields.hasToken("Expect", "100-continue") && socket.input().empty())
        socket.send("HTTP/1.1 100 Continue\r\n\r\n", deadline);
    while (true) {
        const body_decoder::state state = decoder->feed(socket.input(), message.body);
        if (message.body.size() > limits.bodyBytes)
            return bodyTooLarge();
        if (message.body.capacity() > uncountedBytes && !message.bodyShare.tryGrow(message.body.capacity()))
            return noRoomForBody();
        if (state == body_decoder::state::Complete)
            return std::nullopt;
        if (state == body_decoder::state::Malformed)
            return badRequest("the body is not framed as HTTP/1.1 asks");
        const io_outcome outcome = socket.receive(deadline);
        if (outcome == io_outcome::TimedOut)
            return refusal { .status = 408, .title = "Request timeout", .detail = "the body did not arrive in time" };
        if (outcome != io_outcome::Done) {
            result.isClosed = true;
            return std::nullopt;
        }
    }
}

read_result readRequest(relay_socket& socket, const caller_limits& limits, body_memory* bodies, caller_message& message)
{
    if (bodies)
        message.bodyShare = body_reservation { *bodies };
    read_result result;
    if (!socket.input().empty())
        message.receivedAt = boottime_clock {}.now();
    result.problem = readHead(socket, limits, message, result);
    if (!result.isClosed && !result.problem)
        result.problem = readBody(socket, limits, message, result);
    return result;
}

} // namespace radishflow
