// Declares httpCall and httpStream, the HTTP client of the tests.
#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace radishflow {

struct http_call_request {
    std::string method = "GET";
    std::string url; ///< For example "http://127.0.0.1:8001/v1/chat/completions".
    std::map<std::string, std::string> headers;
    std::string body;
    std::chrono::milliseconds timeout { 5000 }; ///< Maximum time to connect and for each wait for data.
    std::chrono::milliseconds total { 30000 }; ///< Maximum duration of a stream, checked after each line.
};

struct http_call_reply {
    int status = 0; ///< 0 when no response was received.
    std::map<std::string, std::string> headers; ///< Values by name in lower case.
    std::string body; ///< Empty for a stream, whose lines are passed to the callback.
    bool isConnected = false; ///< Whether the connection was established, so that data may have been sent.
    std::string error; ///< Why the response is missing or incomplete; empty when it is complete.
};

/// Sends a request on a new connection and reads the complete response. Thread-safe; the process has to ignore SIGPIPE.
http_call_reply httpCall(const http_call_request&);

/// Sends a request and calls onLine with each line of the response, without its line ending. Closes the connection when onLine
/// returns false. Thread-safe; the process has to ignore SIGPIPE.
http_call_reply httpStream(const http_call_request&, const std::function<bool(std::string_view)>& onLine);

} // namespace radishflow
