// Implements the edge of the unit tests.
#include "test_edge.h"

#include <Poco/Exception.h>

#include <chrono>

namespace radishflow {

static caller_answer answerOf(const caller_request& request)
{
    // The path "/endless" gives bytes for as long as the caller reads; all others echo the body.
    const bool isEndless = request.path == "/endless";
    return {
        .request = request.request,
        .resumeId = [id = request.request] { return id; },
        .read = [isEndless, body = request.body](std::uint64_t offset, std::chrono::milliseconds) {
            if (isEndless)
                return answer_part { .data = std::string(16384, 'x'), .offset = offset, .status = 200, .contentType = "text/plain" };
            return answer_part { .data = "echo " + body, .finished = true, .status = 200, .contentType = "text/plain" }; },
        .cancel = [] {},
    };
}

edge_handlers test_edge::handlers()
{
    return {
        .call = [this](const caller_request& request) {
            ++m_handled;
            return answerOf(request); },
        .answer = [this](const document_request& request) {
            ++m_handled;
            return document { .contentType = "text/plain", .body = "page " + request.path }; },
    };
}

test_edge::test_edge(const edge_options& options)
    : m_server(options, handlers())
{
}

Poco::Net::StreamSocket test_edge::connect() const
{
    Poco::Net::StreamSocket socket { Poco::Net::SocketAddress { "127.0.0.1", m_server.port() } };
    socket.setReceiveTimeout(Poco::Timespan { 10, 0 });
    return socket;
}

std::string readAll(Poco::Net::StreamSocket& socket)
{
    std::string answer;
    char buffer[8192];
    try {
        for (int count = 0; (count = socket.receiveBytes(buffer, sizeof buffer)) > 0;)
            answer.append(buffer, static_cast<std::size_t>(count));
    } catch (const Poco::Exception& error) {
        answer += "(" + error.displayText() + ")";
    }
    return answer;
}

std::string test_edge::call(const std::string& bytes, bool isHalfClosed) const
{
    Poco::Net::StreamSocket socket = connect();
    socket.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
    if (isHalfClosed)
        socket.shutdownSend();
    return readAll(socket);
}

std::string modelCall(const std::string& headers, const std::string& body)
{
    return "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nConnection: close\r\n" + headers + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace radishflow
