// Implements the reading and checking of a caller's request.
#include "request_parser.h"

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/UUIDGenerator.h>

#include <algorithm>
#include <charconv>
#include <optional>
#include <string_view>

namespace radishflow {

static constexpr std::string_view modelPath = "/v1/chat/completions";
static constexpr std::string_view servicePrefix = "/services/";
static constexpr std::size_t longestName = 200;

static refusal badRequest(std::string detail)
{
    return { .status = 400, .title = "Bad request", .detail = std::move(detail) };
}

std::variant<std::string, refusal> readBody(Poco::Net::HTTPServerRequest& request, const edge_options& options)
{
    const refusal tooLarge { .status = 413, .title = "Body too large", .detail = "the limit is " + std::to_string(options.bodyLimitBytes) + " bytes" };
    const bool hasLength = request.hasContentLength();
    if (hasLength && (request.getContentLength64() < 0 || static_cast<std::size_t>(request.getContentLength64()) > options.bodyLimitBytes))
        return tooLarge;
    std::string body;
    char buffer[8192];
    while (request.stream().read(buffer, sizeof buffer) || request.stream().gcount() > 0) {
        body.append(buffer, static_cast<std::size_t>(request.stream().gcount()));
        if (body.size() > options.bodyLimitBytes)
            return tooLarge;
    }
    if (hasLength && body.size() != static_cast<std::size_t>(request.getContentLength64()))
        return badRequest("the body ended before its stated length");
    return body;
}

bool isCallPath(const std::string& path)
{
    return path == modelPath || path.starts_with(servicePrefix);
}

// A number that is malformed or out of range is the caller's error, not a default.
static std::optional<long> readNumber(std::string_view text, long low, long high)
{
    long value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc {} || end != text.data() + text.size() || value < low || value > high)
        return std::nullopt;
    return value;
}

// RFC 9218 urgency: the member "u" of the Priority header.
static std::optional<long> readUrgency(const std::string& header)
{
    const std::size_t place = header.find("u=");
    if (place == std::string::npos || place + 2 >= header.size())
        return std::nullopt;
    return readNumber(std::string_view { header }.substr(place + 2, 1), 0, 7);
}

static std::optional<refusal> readNumbers(const Poco::Net::HTTPServerRequest& request, caller_request& call)
{
    if (request.has("Priority")) {
        const auto urgency = readUrgency(request.get("Priority"));
        if (!urgency)
            return badRequest("Priority needs u=0 to u=7");
        call.priority = static_cast<int>(*urgency);
    }
    if (request.has("X-Timeout-Ms")) {
        const auto timeout = readNumber(request.get("X-Timeout-Ms"), 1, 3600 * 1000L);
        if (!timeout)
            return badRequest("X-Timeout-Ms is a number of milliseconds from 1 to 3600000");
        call.timeout = std::chrono::milliseconds { *timeout };
    }
    if (request.has("Last-Event-ID")) {
        const auto event = readNumber(request.get("Last-Event-ID"), 0, 1L << 40);
        if (!event)
            return badRequest("Last-Event-ID is the number of the last event received");
        call.resumeAfter = static_cast<std::uint64_t>(*event);
    }
    return std::nullopt;
}

static std::optional<refusal> readNames(const Poco::Net::HTTPServerRequest& request, caller_request& call)
{
    for (const char* name : { "X-Workspace", "X-Chat", "Idempotency-Key", "X-Request-Id" }) {
        if (request.get(name, "").size() > longestName)
            return badRequest(std::string { name } + " is longer than " + std::to_string(longestName) + " bytes");
    }
    call.workspace = workspace_id { request.get("X-Workspace", "") };
    call.chat = chat_id { request.get("X-Chat", "") };
    call.key = idempotency_key { request.get("Idempotency-Key", "") };
    call.isResumed = request.has("X-Request-Id");
    call.request = request_id { call.isResumed ? request.get("X-Request-Id") : Poco::UUIDGenerator::defaultGenerator().createRandom().toString() };
    return std::nullopt;
}

std::variant<caller_request, refusal> readCall(Poco::Net::HTTPServerRequest& request, const edge_options& options)
{
    caller_request call { .method = request.getMethod(), .contentType = request.getContentType() };
    const std::string uri = request.getURI();
    if (uri.starts_with(servicePrefix)) {
        const std::size_t end = std::min(uri.find('/', servicePrefix.size()), uri.size());
        call.service = service_id { uri.substr(servicePrefix.size(), end - servicePrefix.size()) };
        call.path = end < uri.size() ? uri.substr(end) : "/";
    } else {
        call.isModelCall = true;
        call.path = std::string { modelPath };
        if (call.method != "POST")
            return refusal { .status = 405, .title = "Method not allowed", .detail = "a model call is a POST" };
    }
    if (auto problem = readNames(request, call))
        return *problem;
    if (auto problem = readNumbers(request, call))
        return *problem;
    auto body = readBody(request, options);
    if (auto* problem = std::get_if<refusal>(&body))
        return *problem;
    call.body = std::move(std::get<std::string>(body));
    return call;
}

} // namespace radishflow
