// Implements the header fields of forwarded requests.
#include "radishflow/Relay/forwarding_fields.h"

#include <spdlog/fmt/fmt.h>
#include <spdlog/fmt/ranges.h>

#include <algorithm>
#include <charconv>
#include <utility>

namespace radishflow {

static constexpr std::string_view fieldPrefix = "Radishflow-";
static constexpr std::string_view fromField = "Radishflow-From";
static constexpr std::string_view tokenField = "Radishflow-Token";
static constexpr std::string_view configField = "Radishflow-Config";
static constexpr std::string_view timeLeftField = "Radishflow-Time-Left"; // Milliseconds.
static constexpr std::string_view mayHaveRunField = "Radishflow-May-Have-Run";
static constexpr std::string_view triedServersField = "Radishflow-Tried-Servers"; // Separated by spaces.
static constexpr std::string_view resumeAfterField = "Radishflow-Resume-After";
static constexpr std::string_view versionField = "Radishflow-Stream-Version";
static constexpr std::string_view requestField = "Radishflow-Request";
static constexpr std::string_view serverField = "Radishflow-Server";
static constexpr std::string_view executionField = "Radishflow-Execution";
static constexpr std::string_view scopeField = "Radishflow-Refusal-Scope";

static constexpr std::string_view notRunValue = "not-run";
static constexpr std::string_view unknownValue = "unknown";
static constexpr std::pair<refusal_scope, std::string_view> scopeValues[] { { refusal_scope::Access, "access" }, { refusal_scope::Slots, "slots" }, { refusal_scope::Capacity, "capacity" }, { refusal_scope::Request, "request" } };
static constexpr std::size_t maxTriedServers = 16;

template <typename Number>
static std::optional<Number> numberAt(const header_fields& fields, std::string_view name)
{
    const std::string* text = fields.find(name);
    Number number {};
    if (!text || text->empty())
        return std::nullopt;
    const auto parsed = std::from_chars(text->data(), text->data() + text->size(), number);
    return parsed.ec == std::errc {} && parsed.ptr == text->data() + text->size() ? std::optional { number } : std::nullopt;
}

static std::string textAt(const header_fields& fields, std::string_view name)
{
    const std::string* text = fields.find(name);
    return text ? *text : std::string {};
}

static std::optional<version_key> versionAt(const header_fields& fields)
{
    const auto version = numberAt<std::uint64_t>(fields, versionField);
    return version ? std::optional { version_key { *version } } : std::nullopt;
}

static std::string line(std::string_view name, std::string_view value)
{
    return fmt::format("{}: {}\r\n", name, value);
}

bool isForwardingField(std::string_view name)
{
    return name.size() > fieldPrefix.size() && equalsIgnoringCase(name.substr(0, fieldPrefix.size()), fieldPrefix);
}

void removeForwardingFields(header_fields& fields)
{
    std::erase_if(fields.all, [](const header_field& field) { return isForwardingField(field.name); });
}

std::string writeForwardedHead(const request_head& head, std::size_t bodyBytes, const forwarded_request& request)
{
    std::string text = fmt::format("{} {} HTTP/1.1\r\n", head.method, head.target);
    for (const header_field& field : head.fields.all) {
        if (!isHopByHop(head.fields, field.name) && !isForwardingField(field.name) && !equalsIgnoringCase(field.name, "Content-Length"))
            text += line(field.name, field.value);
    }
    text += line(fromField, request.from.value()) + line(tokenField, request.token);
    text += line(configField, std::to_string(request.config.value()));
    text += line(timeLeftField, std::to_string(request.timeLeft.count()));
    text += line(mayHaveRunField, std::to_string(request.mayHaveRun));
    std::vector<std::string_view> servers;
    for (const server_id& server : request.triedServers)
        servers.push_back(server.value());
    if (!servers.empty())
        text += line(triedServersField, fmt::format("{}", fmt::join(servers, " ")));
    if (request.resumeAfter)
        text += line(resumeAfterField, std::to_string(*request.resumeAfter));
    if (request.version)
        text += line(versionField, std::to_string(request.version->value()));
    if (bodyBytes > 0 || head.fields.find("Content-Length") || head.fields.find("Transfer-Encoding"))
        text += line("Content-Length", std::to_string(bodyBytes));
    return text += "\r\n";
}

std::optional<forwarded_request> readForwardedRequest(const header_fields& fields)
{
    const auto config = numberAt<std::uint64_t>(fields, configField);
    const auto timeLeft = numberAt<std::int64_t>(fields, timeLeftField);
    const auto mayHaveRun = numberAt<int>(fields, mayHaveRunField);
    forwarded_request request { .from = daemon_id { textAt(fields, fromField) }, .token = textAt(fields, tokenField) };
    const bool hasBadNumbers = !config || !timeLeft || !mayHaveRun || *timeLeft < 0 || *mayHaveRun < 0;
    if (hasBadNumbers || request.from.empty() || request.token.empty())
        return std::nullopt;
    request.config = config_version { *config };
    request.timeLeft = std::chrono::milliseconds { *timeLeft };
    request.mayHaveRun = *mayHaveRun;
    request.resumeAfter = numberAt<std::uint64_t>(fields, resumeAfterField);
    request.version = versionAt(fields);
    std::string servers = textAt(fields, triedServersField);
    while (!servers.empty() && request.triedServers.size() < maxTriedServers) {
        const auto end = std::min(servers.find(' '), servers.size());
        request.triedServers.emplace_back(servers.substr(0, end));
        servers.erase(0, end + 1);
    }
    return request;
}

std::string writeForwardedFields(const forwarded_response& response)
{
    std::string text;
    if (!response.request.empty())
        text += line(requestField, response.request.value());
    if (!response.server.empty())
        text += line(serverField, response.server.value());
    if (response.version)
        text += line(versionField, std::to_string(response.version->value()));
    if (response.execution) {
        text += line(executionField, *response.execution == execution_state::NotRun ? notRunValue : unknownValue);
        for (const auto& [scope, value] : scopeValues) {
            if (scope == response.scope)
                text += line(scopeField, value);
        }
    }
    return text;
}

forwarded_response readForwardedResponse(const header_fields& fields)
{
    forwarded_response response { .request = request_id { textAt(fields, requestField) }, .server = server_id { textAt(fields, serverField) }, .version = versionAt(fields) };
    if (const std::string* execution = fields.find(executionField))
        response.execution = *execution == notRunValue ? execution_state::NotRun : execution_state::Unknown;
    for (const auto& [scope, value] : scopeValues) {
        if (textAt(fields, scopeField) == value)
            response.scope = scope;
    }
    return response;
}

} // namespace radishflow
