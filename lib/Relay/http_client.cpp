// Implements http_client with the relay's socket and its strict parsing of responses.
#include "radishflow/Relay/http_client.h"

#include "radishflow/Requests/body_decoder.h"
#include "radishflow/Requests/parse_head.h"
#include "radishflow/Support/boottime_clock.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <optional>
#include <utility>

namespace radishflow {

static constexpr std::size_t maxHeadBytes = 65536;
static constexpr int maxInterimResponses = 16;
static constexpr int totalTimeFactor = 4; // Multiple of the timeout that a whole response may take, as it may arrive byte by byte.

static time_point now()
{
    return boottime_clock {}.now();
}

http_client::http_client(http_client_options options)
    : m_options(std::move(options))
{
}

void http_client::close()
{
    if (m_socket.isOpen())
        m_socket.close();
    m_socket = relay_socket {};
}

// A connection on which a response was lost cannot be used for further calls.
boost::leaf::error_id http_client::failWith(failure_code code, const std::string& step, std::string detail)
{
    close();
    return fail({ .code = code, .step = step, .peer = m_options.address, .detail = std::move(detail) });
}

result<bool> http_client::open(const std::string& step)
{
    switch (relay_socket::connect(m_options.address, now() + m_options.connectTimeout, nullptr, m_socket)) {
    case io_outcome::Done:
        m_socket.setMaxSilence(m_options.maxSilence);
        return true;
    case io_outcome::TimedOut:
        return failWith(failure_code::TimedOut, step, "no connection in time");
    default:
        return failWith(failure_code::Unreachable, step, "no connection");
    }
}

result<bool> http_client::receive(const std::string& step, const read_limit& limit, bool& hasEnded)
{
    switch (m_socket.receive(std::min<time_point>(limit.end, now() + limit.perPart))) {
    case io_outcome::Done:
        return true;
    case io_outcome::Ended:
        hasEnded = true;
        return true;
    case io_outcome::TimedOut:
        return failWith(failure_code::TimedOut, step, "no response in time");
    default:
        return failWith(failure_code::Unreachable, step, "the connection broke");
    }
}

result<response_head> http_client::readHead(const std::string& step, const read_limit& limit)
{
    constexpr int firstFinalStatus = 200;
    int interimResponses = 0;
    while (true) {
        response_head head;
        std::size_t length = 0;
        switch (parseResponseHead(m_socket.input(), maxHeadBytes, head, length)) {
        case parse_state::Complete:
            m_socket.input().erase(0, length);
            if (head.status >= firstFinalStatus)
                return head;
            if (++interimResponses > maxInterimResponses)
                return failWith(failure_code::Broken, step, "too many interim responses");
            continue;
        case parse_state::Incomplete:
            break;
        default:
            return failWith(failure_code::Broken, step, "the head is not valid HTTP/1.1");
        }
        bool hasEnded = false;
        BOOST_LEAF_CHECK(receive(step, limit, hasEnded));
        if (hasEnded)
            return failWith(failure_code::Unreachable, step, "the connection was closed");
    }
}

result<std::string> http_client::readBody(const std::string& step, const response_head& head, bool isHeadOnly, const read_limit& limit)
{
    auto decoder = body_decoder::forResponse(head, isHeadOnly);
    if (!decoder)
        return failWith(failure_code::Broken, step, "the length of the body is not clear");
    std::string body;
    while (true) {
        const body_decoder::state state = decoder->feed(m_socket.input(), body);
        if (body.size() + decoder->remainingBytes() > m_options.maxBodyBytes)
            return failWith(failure_code::Broken, step, "the body is too large");
        if (state == body_decoder::state::Complete)
            return body;
        if (state == body_decoder::state::Malformed)
            return failWith(failure_code::Broken, step, "the body is not framed as HTTP/1.1 asks");
        bool hasEnded = false;
        BOOST_LEAF_CHECK(receive(step, limit, hasEnded));
        if (hasEnded && decoder->endsWithConnection())
            return body;
        if (hasEnded)
            return failWith(failure_code::Broken, step, "the response ended early");
    }
}

result<http_client_response> http_client::exchange(const std::string& step, const std::string& method, const std::string& request, std::chrono::milliseconds timeout)
{
    const time_point end = now() + totalTimeFactor * timeout;
    switch (m_socket.send(request, now() + timeout)) {
    case io_outcome::Done:
        break;
    case io_outcome::TimedOut:
        return failWith(failure_code::TimedOut, step, "the request was not read in time");
    default:
        return failWith(failure_code::Unreachable, step, "the connection broke");
    }
    const read_limit limit { .perPart = timeout, .end = end };
    BOOST_LEAF_AUTO(head, readHead(step, limit));
    BOOST_LEAF_AUTO(body, readBody(step, head, method == "HEAD", limit));
    if (!keepsConnection(head.minorVersion, head.fields) || !m_socket.isIdle())
        close();
    return http_client_response { .head = std::move(head), .body = std::move(body) };
}

result<http_client_response> http_client::call(const std::string& method, const std::string& target, const std::string& body, std::chrono::milliseconds timeout)
{
    const std::string step = method + ' ' + target;
    std::string request = fmt::format("{} {} HTTP/1.1\r\nHost: {}\r\n", method, target, m_options.address);
    if (!body.empty())
        request += fmt::format("Content-Type: application/json\r\nContent-Length: {}\r\n", body.size());
    request.append("\r\n").append(body);
    if (m_socket.isOpen()) {
        // A connection that was idle may have been closed by the other side, which is no outage. Reads can be repeated.
        std::optional<failure> unreachable;
        auto response = boost::leaf::try_handle_some(
            [&] { return exchange(step, method, request, timeout); },
            [&](const failure& error) -> result<http_client_response> {
                if (error.code != failure_code::Unreachable || method != "GET")
                    return fail(error);
                unreachable = error;
                return http_client_response {};
            });
        if (!unreachable)
            return response;
    }
    BOOST_LEAF_CHECK(open(step));
    return exchange(step, method, request, timeout);
}

} // namespace radishflow
