// Declares httpCall and httpStream, the callers that tests use.
#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace radishflow {

struct http_call_request {
    std::string method = "GET";
    std::string url; ///< "http://127.0.0.1:8001/v1/chat/completions".
    std::map<std::string, std::string> headers;
    std::string body;
    std::chrono::milliseconds timeout { 5000 }; ///< Bounds the connect and each wait for bytes.
    std::chrono::milliseconds total { 30000 }; ///< Bounds a stream, checked at each line.
};

struct http_call_reply {
    int status = 0; ///< 0 when no answer came.
    std::map<std::string, std::string> headers; ///< By name in lower case.
    std::string body; ///< Empty for a stream, whose lines went to the callback.
    bool isConnected = false; ///< Whether the connection could be made, so that something may have been sent.
    std::string error; ///< Why the answer is missing or cut short; empty when it is whole.
};

/// Sends a request and reads the whole answer. Thread-safe; the process has to ignore SIGPIPE.
http_call_reply httpCall(const http_call_request&);

/// Calls onLine with each line of the answer, without its end; closes the connection once it returns false.
http_call_reply httpStream(const http_call_request&, const std::function<bool(std::string_view)>& onLine);

} // namespace radishflow
