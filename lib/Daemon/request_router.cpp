// Implements the handling of a request at the daemon that received it.
#include "radishflow/Daemon/request_router.h"

#include "radishflow/Daemon/request_route.h"
#include "radishflow/Daemon/resume_id.h"
#include "radishflow/Support/hashing.h"

#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

#include <algorithm>
#include <memory>
#include <random>
#include <utility>
#include <variant>

namespace radishflow {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

// Bounds the servers tried per request: at the largest service (1,300 servers) most requests would time out before
// all were tried.
static constexpr std::size_t maxServersTried = 8;

static caller_answer refuse(const caller_request& request, refusal reason)
{
    return { .refused = std::move(reason), .request = request.request };
}

// Returns the member "model" of an OpenAI-style body; empty when the body has none.
static model_id modelOf(const std::string& body)
{
    try {
        Poco::JSON::Parser parser;
        parser.setDepth(32);
        const auto object = parser.parse(body).extract<Poco::JSON::Object::Ptr>();
        return model_id { object->optValue<std::string>("model", "") };
    } catch (const Poco::Exception&) {
        return model_id {};
    }
}

// Only the server that holds a generation can continue it, even when it accepts no new requests.
static std::vector<known_server> holderOf(const std::vector<known_server>& servers, const std::string& mark)
{
    std::vector<known_server> holders;
    for (const known_server& server : servers) {
        if (!server.owner.empty() && markOf(server.id) == mark)
            holders.push_back(server);
    }
    return holders;
}

// Includes the workspace, because two workspaces may use the same chat id and must not share an engine's cache entry.
static chat_id chatOf(const caller_request& request)
{
    return chat_id { request.workspace.value() + '/' + request.chat.value() };
}

// Only model calls of a chat have a prefix to look up. A resumed call goes to the server that holds its generation.
static rank_order orderOf(const caller_request& request)
{
    return request.isModelCall && !request.isResumed && !request.chat.empty() ? rank_order::HoldersFirst : rank_order::AsRanked;
}

// Never returns 0, which disables the random order.
static std::uint64_t randomTailSeed()
{
    thread_local std::mt19937_64 source { std::random_device {}() };
    return source() | 1U;
}

std::vector<known_server> request_router::rankServers(const service_settings& service, const caller_request& request) const
{
    const auto fleet = m_directory.current();
    const auto found = fleet->servers.find(service.id);
    if (found == fleet->servers.end())
        return {};
    if (request.isResumed) {
        if (const std::string mark = parseResumeId(request.request).serverMark; !mark.empty())
            return holderOf(found->second, mark);
    }
    std::vector<placement_server> candidates;
    for (const known_server& server : found->second)
        candidates.push_back({ .id = server.id, .zone = server.zone, .region = server.region, .acceptsRequests = server.acceptsRequests() });
    // A request without a chat has no cached prefix, so its ranking is derived from the request id.
    const chat_id chat = request.chat.empty() ? chat_id { request.request.value() } : chatOf(request);
    const placement_request wanted { .chatHash = hashOfChat(service.id, chat), .region = m_options.region, .tailSeed = orderOf(request) == rank_order::HoldersFirst ? randomTailSeed() : 0 };
    std::vector<known_server> rank;
    for (const std::uint32_t index : m_placement.rank(wanted, candidates, maxServersTried)) {
        if (candidates[index].acceptsRequests)
            rank.push_back(found->second[index]);
    }
    return rank;
}

request_submission request_router::submissionOf(const caller_request& request, const service_settings& service, const workspace_settings& workspace) const
{
    const std::string identity = service.id.value() + '/' + request.workspace.value() + ' ' + request.method + ' ' + request.path;
    const auto maxTimeLeft = std::min(duration_cast<milliseconds>(service.requestTimeout), milliseconds { m_options.maxRequestDuration });
    return {
        .request = parseResumeId(request.request).request,
        .service = service.id,
        .workspace = request.workspace,
        .chat = request.chat,
        .prefix = request.isModelCall && !request.chat.empty() ? prefixName(hashOfChat(service.id, chatOf(request))) : std::string {},
        .method = request.method,
        .path = request.path,
        .contentType = request.contentType,
        .body = request.body,
        .priority = request.priority < 0 ? workspace.priority : request.priority,
        .timeLeft = request.timeout.count() > 0 ? std::min(request.timeout, maxTimeLeft) : maxTimeLeft,
        .isModelCall = request.isModelCall,
        .resumeAfter = request.resumeAfter,
        .fingerprint = stableHash(identity, request.body),
        .fingerprintLow = stableHash(request.body, identity),
    };
}

namespace {

    /// Settings that apply to a call that may be routed.
    struct checked_call {
        const service_settings* service = nullptr;
        const workspace_settings* workspace = nullptr;
        bool canRepeat = true;
    };

} // namespace

static refusal badRequest(std::string detail)
{
    return { .status = 400, .title = "Bad request", .detail = std::move(detail) };
}

static std::variant<const service_settings*, refusal> serviceOf(const caller_request& request, const fleet_config& config)
{
    const model_id model = request.isModelCall ? modelOf(request.body) : model_id {};
    if (request.isModelCall && model.empty())
        return badRequest("the body is a JSON object with the member \"model\"");
    const service_settings* service = request.isModelCall ? findServiceOfModel(config, model) : findService(config, request.service);
    if (!service)
        return refusal { .status = 404, .title = "No such service", .detail = request.isModelCall ? model.value() : request.service.value() };
    return service;
}

static std::variant<checked_call, refusal> checkCall(const caller_request& request, const fleet_config& config)
{
    const auto found = serviceOf(request, config);
    if (const auto* reason = std::get_if<refusal>(&found))
        return *reason;
    const service_settings* service = std::get<const service_settings*>(found);
    const workspace_settings* workspace = findWorkspace(config, request.workspace);
    if (!workspace || !mayCall(*workspace, service->id))
        return refusal { .status = 403, .title = "Workspace not allowed", .detail = "X-Workspace names a workspace that may call " + service->id.value() };
    if (request.body.size() > static_cast<std::size_t>(service->maxBodyBytes))
        return refusal { .status = 413, .title = "Body too large", .detail = service->id.value() + " takes at most " + std::to_string(service->maxBodyBytes) + " bytes" };
    const bool canRepeat = isRepeatable(*service, request.method, request.path);
    if (!canRepeat && request.key.empty())
        return refusal { .status = 400, .title = "Idempotency-Key missing", .detail = "this call may not be repeated, so it needs a key" };
    return checked_call { .service = service, .workspace = workspace, .canRepeat = canRepeat };
}

caller_answer request_router::route(const caller_request& request)
{
    const auto snapshot = m_configuration.current();
    if (!snapshot)
        return refuse(request, { .status = 503, .title = "Not ready", .detail = "no configuration is in force yet", .retryAfter = milliseconds { 1000 } });
    const auto checked = checkCall(request, snapshot->config);
    if (const auto* reason = std::get_if<refusal>(&checked))
        return refuse(request, *reason);
    const auto& [service, workspace, canRepeat] = std::get<checked_call>(checked);
    request_submission submission = submissionOf(request, *service, *workspace);
    std::vector<known_server> rank = rankServers(*service, request);
    if (!canRepeat) {
        submission.key = request.key;
        return m_orders.run(submission, rank);
    }
    auto route = std::make_shared<request_route>(m_ownerClient, m_retries, std::move(submission), std::move(rank), canRepeat, orderOf(request));
    if (auto reason = route->start())
        return refuse(request, *reason);
    return {
        .request = request.request,
        .resumeId = [route, id = parseResumeId(request.request).request] { return makeResumeId(id, route->server()); },
        .read = [route](std::uint64_t offset, milliseconds wait) { return route->read(offset, wait); },
        .cancel = [route] { route->cancel(); },
    };
}

} // namespace radishflow
