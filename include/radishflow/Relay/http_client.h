// Declares http_client, which calls an HTTP/1.1 server with bounds on the time and size of a response.
#pragma once

#include "radishflow/Relay/relay_socket.h"
#include "radishflow/Requests/message_head.h"
#include "radishflow/Support/result.h"

#include <chrono>
#include <cstddef>
#include <string>

namespace radishflow {

struct http_client_options {
    std::string address; ///< "IP:port"
    std::chrono::milliseconds connectTimeout {};
    std::chrono::milliseconds maxSilence {}; ///< After which the connection fails.
    std::size_t maxBodyBytes = 0;
};

struct http_client_response {
    response_head head;
    std::string body;
};

/// Keeps one connection open if the server does. Not thread-safe. Failures name the call and the address: Unreachable if no connection
/// was established, or the server ended it before the response; TimedOut; Broken if the response is invalid, too large or incomplete.
class http_client {
public:
    explicit http_client(http_client_options);
    ~http_client() { close(); }
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    /// Sends a request and reads the whole response. Waits for the timeout at most for each part of the response, and for a
    /// multiple of it for all of them. A GET request is repeated once if a kept connection has been closed.
    result<http_client_response> call(const std::string& method, const std::string& target, const std::string& body, std::chrono::milliseconds timeout);
    /// Closes the connection, so that the next call opens another one.
    void close();

private:
    /// When reading a response has to end.
    struct read_limit {
        duration perPart {};
        time_point end {};
    };

    result<bool> open(const std::string& step);
    result<bool> receive(const std::string& step, const read_limit&, bool& hasEnded);
    result<response_head> readHead(const std::string& step, const read_limit&);
    result<std::string> readBody(const std::string& step, const response_head&, bool isHeadOnly, const read_limit&);
    result<http_client_response> exchange(const std::string& step, const std::string& method, const std::string& request, std::chrono::milliseconds timeout);
    boost::leaf::error_id failWith(failure_code, const std::string& step, std::string detail);

    http_client_options m_options;
    relay_socket m_socket;
};

} // namespace radishflow
