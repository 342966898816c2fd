// Implements the reading and checking of a caller's request.
#include "request_parser.h"

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/String.h>
#include <Poco/UUIDGenerator.h>

#include <algorithm>
#include <charconv>
#include <optional>
#include <string_view>

namespace radishflow {

static constexpr std::string_view modelPath = "/v1/chat/completions";
static constexpr std::string_view servicePrefix = "/services/";
static constexpr std::size_t longestName = 200;
static constexpr std::size_t longestFields = 32 * 1024;

static refusal badRequest(std::string detail)
{
    return { .status = 400, .title = "Bad request", .detail = std::move(detail) };
}

static bool isPrintable(std::string_view text)
{
    return std::all_of(text.begin(), text.end(), [](char letter) { return letter >= ' ' && letter <= '~'; });
}

static std::size_t sizeOfFields(const Poco::Net::HTTPServerRequest& request)
{
    std::size_t size = 0;
    for (const auto& [name, value] : request)
        size += name.size() + value.size();
    return size;
}

static bool isLength(std::string_view text)
{
    constexpr std::size_t mostDigits = 15;
    return !text.empty() && text.size() <= mostDigits && std::all_of(text.begin(), text.end(), [](char digit) { return digit >= '0' && digit <= '9'; });
}

// A body whose end two readers could see at different places lets one request hide in another; POCO ends a
// chunked body that was cut short like a whole one, so only a stated length is taken.
static std::optional<refusal> checkLength(const Poco::Net::HTTPServerRequest& request)
{
    if (request.has("Transfer-Encoding"))
        return refusal { .status = 411, .title = "Length required", .detail = "send Content-Length in place of Transfer-Encoding" };
    int lengths = 0;
    for (const auto& [name, value] : request) {
        if (Poco::icompare(name, "Content-Length") != 0)
            continue;
        if (++lengths > 1 || !isLength(value))
            return badRequest("Content-Length is one number of bytes");
    }
    return std::nullopt;
}

std::optional<refusal> checkHead(const Poco::Net::HTTPServerRequest& request)
{
    static constexpr std::string_view methods[] { "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE" };
    if (std::find(std::begin(methods), std::end(methods), request.getMethod()) == std::end(methods))
        return refusal { .status = 501, .title = "Method not known", .detail = "GET, HEAD, POST, PUT, PATCH and DELETE are" };
    if (request.getVersion() != Poco::Net::HTTPMessage::HTTP_1_1 && request.getVersion() != Poco::Net::HTTPMessage::HTTP_1_0)
        return refusal { .status = 505, .title = "HTTP version not supported", .detail = "1.0 and 1.1 are" };
    if (!request.getURI().starts_with('/') || !isPrintable(request.getURI()))
        return badRequest("the target is a path of printable ASCII that starts with /");
    if (sizeOfFields(request) > longestFields)
        return refusal { .status = 431, .title = "Header fields too large", .detail = "the limit is " + std::to_string(longestFields) + " bytes" };
    return checkLength(request);
}

std::variant<std::string, refusal> readBody(Poco::Net::HTTPServerRequest& request, const edge_options& options)
{
    std::string body;
    if (!request.hasContentLength())
        return body;
    const auto length = static_cast<std::size_t>(request.getContentLength64());
    if (length > options.bodyLimitBytes)
        return refusal { .status = 413, .title = "Body too large", .detail = "the limit is " + std::to_string(options.bodyLimitBytes) + " bytes" };
    if (request.getExpectContinue())
        request.response().sendContinue();
    char buffer[8192];
    while (body.size() < length) {
        request.stream().read(buffer, static_cast<std::streamsize>(std::min(sizeof buffer, length - body.size())));
        if (request.stream().gcount() <= 0)
            return badRequest("the body ended before its stated length");
        body.append(buffer, static_cast<std::size_t>(request.stream().gcount()));
    }
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

// RFC 9218: the header is a list of members such as "u=1, i"; the last "u" counts. Returns -1 when it has none
// and nothing when it is malformed.
static std::optional<int> readUrgency(std::string_view header)
{
    int urgency = -1;
    while (!header.empty()) {
        const std::size_t end = std::min(header.find(','), header.size());
        const std::string member = Poco::trim(std::string { header.substr(0, end) });
        header.remove_prefix(std::min(end + 1, header.size()));
        if (member == "i" || member == "i=?0" || member == "i=?1")
            continue;
        if (member.size() != 3 || !member.starts_with("u=") || member[2] < '0' || member[2] > '7')
            return std::nullopt;
        urgency = member[2] - '0';
    }
    return urgency;
}

static std::optional<refusal> readNumbers(const Poco::Net::HTTPServerRequest& request, caller_request& call)
{
    if (request.has("Priority")) {
        const auto urgency = readUrgency(request.get("Priority"));
        if (!urgency)
            return badRequest("Priority is u=0 to u=7, with or without i");
        call.priority = *urgency;
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
        if (!isPrintable(request.get(name, "")))
            return badRequest(std::string { name } + " has other letters than printable ASCII");
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
