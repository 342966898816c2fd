// Implements the serialization of responses to callers.
#include "radishflow/Relay/response_text.h"

#include "radishflow/Edge/problem_details.h"
#include "radishflow/Relay/forwarding_fields.h"

#include <Poco/Net/HTTPResponse.h>
#include <spdlog/fmt/fmt.h>

#include <array>
#include <charconv>

namespace radishflow {

static std::string statusLine(int status, std::string_view reason)
{
    return fmt::format("HTTP/1.1 {} {}\r\n", status, reason);
}

static const std::string& reasonOf(int status)
{
    return Poco::Net::HTTPResponse::getReasonForStatus(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
}

static void appendConnection(std::string& text, bool keepsOpen)
{
    if (!keepsOpen)
        text += "Connection: close\r\n";
}

std::string writeResponseHead(const response_head& head, std::optional<std::size_t> bodyBytes, bool keepsOpen, std::string_view extraFields)
{
    std::string text = statusLine(head.status, head.reason);
    for (const header_field& field : head.fields.all) {
        if (isHopByHop(head.fields, field.name) || isForwardingField(field.name) || equalsIgnoringCase(field.name, "Content-Length"))
            continue;
        text.append(field.name).append(": ").append(field.value).append("\r\n");
    }
    text += bodyBytes ? fmt::format("Content-Length: {}\r\n", *bodyBytes) : "Transfer-Encoding: chunked\r\n";
    text += extraFields;
    appendConnection(text, keepsOpen);
    return text += "\r\n";
}

std::string writeRefusal(const refusal& reason, const request_id& request, bool keepsOpen, std::string_view extraFields)
{
    const std::string body = problemDetails(reason, request);
    std::string text = statusLine(reason.status, reasonOf(reason.status));
    text += fmt::format("Content-Type: application/problem+json\r\nContent-Length: {}\r\n", body.size());
    // Retry-After carries fractions of a second, so that callers can retry as soon as there is capacity.
    if (reason.retryAfter.count() > 0)
        text += fmt::format("Retry-After: {:.3f}\r\n", std::chrono::duration<double>(reason.retryAfter).count());
    text += extraFields;
    appendConnection(text, keepsOpen);
    return text += "\r\n" + body;
}

std::string writeDocument(int status, std::string_view contentType, std::string_view body, bool keepsOpen)
{
    std::string text = statusLine(status, reasonOf(status));
    text += fmt::format("Content-Type: {}\r\nContent-Length: {}\r\n", contentType, body.size());
    appendConnection(text, keepsOpen);
    return text.append("\r\n").append(body);
}

void appendChunk(std::string& text, std::string_view bytes)
{
    std::array<char, 16> size {};
    const auto end = std::to_chars(size.data(), size.data() + size.size(), bytes.size(), 16).ptr;
    text.append(size.data(), end).append("\r\n").append(bytes).append("\r\n");
}

} // namespace radishflow
