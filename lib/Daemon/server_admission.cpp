// Implements the admission of work to owned servers.
#include "radishflow/Daemon/server_admission.h"

#include "radishflow/Config/fleet_config.h"
#include "radishflow/Placement/placement_request.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cassert>
#include <mutex>
#include <thread>

namespace radishflow {

static constexpr std::chrono::milliseconds fullServerRetry { 500 };
static constexpr std::chrono::milliseconds workspaceRetry { 1000 };
static constexpr std::chrono::milliseconds windowRetryInterval { 1 };
static constexpr int maxWindowTries = 200;

static refusal refuseServer(const request_submission& submission, const char* title)
{
    return { .status = 503, .title = title, .detail = "server " + submission.server.value(), .retryAfter = fullServerRetry, .tryNextServer = true };
}

// The view of the sending daemon may be seconds old, so the owner checks zones and leaving servers again.
std::optional<refusal> server_admission::checkServer(const request_submission& submission, const fleet_snapshot& fleet) const
{
    if (m_dependencies.ownership.ownerOf(submission.server) != m_dependencies.options.name)
        return refuseServer(submission, "Not the owner of the server");
    const auto found = fleet.servers.find(submission.service);
    if (found == fleet.servers.end())
        return refuseServer(submission, "Server unknown to the owner");
    const auto server = std::find_if(found->second.begin(), found->second.end(), [&](const known_server& known) { return known.id == submission.server; });
    if (server == found->second.end())
        return refuseServer(submission, "Server unknown to the owner");
    const bool isNewWork = submission.resumeAfter == 0;
    if (isNewWork && server->isLeaving)
        return refuseServer(submission, "Server is leaving");
    if (isNewWork && server->isZoneOutOfService)
        return refuseServer(submission, "Availability zone is out of service");
    return std::nullopt;
}

// The time to each first token shows whether an engine is still warm. Until the next first token at most the cold
// limit is dispatched, so that an engine that turned cold unnoticed is not overloaded. A plain service gives no such
// sign before its response ends, so the same rule would keep a warm server at its cold limit forever.
static cold_start_limiter_options coldStartLimiterOptionsOf(const service_settings& service)
{
    const int coldLimit = std::min(service.coldLimit, service.serverLimit);
    return {
        .coldLimit = coldLimit,
        .fullLimit = service.serverLimit,
        .slowFirstTokenThreshold = service.firstTokenRange.atMost,
        .unconfirmedLimit = service.kind == service_kind::Model ? coldLimit : service.serverLimit,
    };
}

server_admission::server_state& server_admission::stateOf(const request_submission& submission, const service_settings& service)
{
    server_state& state = m_servers[submission.server];
    state.service = service.id;
    if (!state.coldStartLimiter || state.fullLimit != service.serverLimit) {
        state.fullLimit = service.serverLimit;
        state.dispatchNumbers.clear();
        state.coldStartLimiter.emplace(coldStartLimiterOptionsOf(service));
    }
    return state;
}

service_admission& server_admission::admissionOf(const service_settings& service, const config_snapshot& config)
{
    service_admission& admission = m_services.try_emplace(service.id, m_clock, m_dependencies.options.name).first->second;
    if (admission.configuredVersion() != config.pointer.version)
        admission.configure(service, config.config, config.pointer.version);
    return admission;
}

// Counting more servers lowers the mean, so servers whose owner is not known yet are counted as well.
static int countListed(const fleet_snapshot& fleet, const service_id& service)
{
    const auto servers = fleet.servers.find(service);
    if (servers == fleet.servers.end())
        return 0;
    return static_cast<int>(std::count_if(servers->second.begin(), servers->second.end(), [](const known_server& server) { return !server.isLeaving && !server.isZoneOutOfService; }));
}

void server_admission::setLoadsOf(service_admission& admission, const service_settings& service, int listed)
{
    int running = 0;
    int servers = 0;
    for (const auto& [id, state] : m_servers) {
        if (state.service != service.id)
            continue;
        running += state.reserved;
        ++servers;
    }
    const auto fleet = m_fleetLoads.find(service.id);
    admission.setLoads(running, servers, listed, fleet == m_fleetLoads.end() ? fleet_load {} : fleet->second);
}

bool server_admission::isProbablyHeldAt(const request_submission& submission) const
{
    std::uint64_t prefix = 0;
    return parsePrefixName(submission.prefix, prefix) && isProbablyHeld(m_dependencies.prefixes.stateOf(submission.server, prefix, m_clock.now()));
}

std::optional<refusal> server_admission::reserveAt(const request_submission& submission, const service_settings& service, const config_snapshot& config, int listed)
{
    const bool isHeld = isProbablyHeldAt(submission);
    const std::lock_guard lock { m_mutex };
    server_state& state = stateOf(submission, service);
    service_admission& admission = admissionOf(service, config);
    setLoadsOf(admission, service, listed);
    const bool isModel = service.kind == service_kind::Model;
    const int admitted = isModel ? std::min(state.coldStartLimiter->limit(), admission.currentBound()) : state.coldStartLimiter->limit();
    const auto refuse = [&](const char* title, bool hasRoom) {
        refusal reason = refuseServer(submission, title);
        reason.hasRoom = hasRoom;
        reason.load = static_cast<double>(state.reserved) / std::max(1, admitted);
        reason.isHeld = isHeld;
        return reason;
    };
    if (state.reserved >= state.coldStartLimiter->limit() || !state.coldStartLimiter->canDispatch())
        return refuse(state.coldStartLimiter->isWarm() ? "Server is full" : "Server is warming up", false);
    if (isModel && !admission.isWithinBound(state.reserved, submission.witnessedRunning)) {
        refusal reason = refuse("Server is above its share of the load", false);
        reason.runningThere = state.reserved;
        return reason;
    }
    if (submission.onlyIfHeld && !isHeld)
        return refuse("Prefix is not held", true);
    if (!admission.workspaces().tryStart(submission.workspace))
        return refusal { .status = 429, .title = "Workspace is at its limit", .detail = submission.workspace.value(), .retryAfter = workspaceRetry };
    ++state.reserved;
    return std::nullopt;
}

std::optional<refusal> server_admission::reserve(const request_submission& submission)
{
    const auto config = m_dependencies.configuration.current();
    const service_settings* service = config ? findService(config->config, submission.service) : nullptr;
    if (!service)
        return refuseServer(submission, "Service unknown to the owner");
    const auto fleet = m_dependencies.directory.current();
    if (auto reason = checkServer(submission, *fleet))
        return reason;
    if (auto reason = reserveAt(submission, *service, *config, countListed(*fleet, service->id)))
        return reason;
    auto reason = m_dependencies.crashes.admit(submission);
    if (reason) {
        const std::lock_guard lock { m_mutex };
        --m_servers[submission.server].reserved;
        m_services.at(submission.service).workspaces().finished(submission.workspace);
    }
    return reason;
}

// The dispatch number is assigned before the write, so that concurrent workers cannot all take the last slot.
std::optional<int> server_admission::recordDispatch(const request_submission& submission)
{
    const std::lock_guard lock { m_mutex };
    server_state& state = m_servers[submission.server];
    if (!state.coldStartLimiter->canDispatch())
        return std::nullopt;
    state.dispatchNumbers[submission.attempt] = state.coldStartLimiter->recordDispatch();
    return state.coldStartLimiter->limit();
}

void server_admission::cancelDispatch(const request_submission& submission)
{
    const std::lock_guard lock { m_mutex };
    server_state& state = m_servers[submission.server];
    const auto dispatch = state.dispatchNumbers.find(submission.attempt);
    if (dispatch == state.dispatchNumbers.end())
        return;
    state.coldStartLimiter->recordAbandonment(dispatch->second);
    state.dispatchNumbers.erase(dispatch);
}

// Only a few requests may be admitted and not yet written; a burst waits here for the writes before it.
std::variant<term_number, refusal> server_admission::acquire(const request_submission& submission)
{
    const std::optional<int> limit = recordDispatch(submission);
    if (!limit)
        return refuseServer(submission, "Server is warming up");
    refusal_reason reason = refusal_reason::WindowFull;
    for (int attempt = 0; attempt < maxWindowTries && reason == refusal_reason::WindowFull; ++attempt) {
        const permit granted = m_dependencies.ownership.admit(submission.server, *limit);
        if (granted.isGranted)
            return granted.term;
        reason = granted.reason;
        std::this_thread::sleep_for(windowRetryInterval);
    }
    cancelDispatch(submission);
    return refuseServer(submission, nameOf(reason));
}

// Requests in flight at a crash become suspect before their callers can resend them.
void server_admission::handleConnectionReset(const request_submission& submission, double startTime)
{
    {
        const std::lock_guard lock { m_mutex };
        m_servers[submission.server].coldStartLimiter->recordConnectionReset();
    }
    const bool isCrash = m_reporter.hasCrashed(submission.server, startTime);
    spdlog::warn("step=\"lose connection\" peer={} request={} crashed={} fingerprint={:016x}", submission.server.value(), submission.request.value(), isCrash, submission.fingerprint);
    if (isCrash)
        m_reporter.publish(m_dependencies.crashes.recordCrash(submission, startTime));
}

void server_admission::recordFirstByte(const request_submission& submission, std::chrono::milliseconds wait)
{
    if (!submission.isModelCall)
        return;
    const std::lock_guard lock { m_mutex };
    server_state& state = m_servers[submission.server];
    const auto dispatch = state.dispatchNumbers.find(submission.attempt);
    if (dispatch != state.dispatchNumbers.end())
        state.coldStartLimiter->recordFirstToken(dispatch->second, wait);
}

write_gate server_admission::writeGateFor(const request_submission& submission)
{
    const double startTime = m_reporter.startTime(submission.server);
    return {
        .acquire = [this, &submission] { return acquire(submission); },
        .written = [this, &submission](term_number term) { m_dependencies.ownership.recordStarted(submission.server, term); },
        .released = [this, &submission](term_number term) { m_dependencies.ownership.recordFinished(submission.server, term); },
        .firstByte = [this, &submission](std::chrono::milliseconds wait) { recordFirstByte(submission, wait); },
        .reset = [this, &submission, startTime] { handleConnectionReset(submission, startTime); },
    };
}

void server_admission::finish(const request_submission& submission, const exchange_outcome& outcome)
{
    m_dependencies.crashes.recordEnd(submission, outcome.isWhole);
    const std::lock_guard lock { m_mutex };
    server_state& state = m_servers[submission.server];
    assert(state.reserved > 0 && "each reservation is finished once");
    --state.reserved;
    m_services.at(submission.service).workspaces().finished(submission.workspace);
    const auto dispatch = state.dispatchNumbers.find(submission.attempt);
    if (dispatch == state.dispatchNumbers.end())
        return;
    if (outcome.isWhole)
        state.coldStartLimiter->recordCompletion(dispatch->second);
    else
        state.coldStartLimiter->recordAbandonment(dispatch->second);
    state.dispatchNumbers.erase(dispatch);
}

void server_admission::observe(const server_id& server, const server_sample& sample)
{
    const std::lock_guard lock { m_mutex };
    const auto found = m_servers.find(server);
    if (found != m_servers.end() && found->second.coldStartLimiter)
        found->second.coldStartLimiter->observe(sample);
}

void server_admission::setFleetLoads(const std::unordered_map<service_id, fleet_load>& loads)
{
    const std::vector<server_id> owned = m_dependencies.ownership.ownedServers();
    const std::lock_guard lock { m_mutex };
    m_fleetLoads = loads;
    // A server that moved to another owner is no longer counted here once its requests have ended.
    std::erase_if(m_servers, [&](const auto& item) {
        return item.second.reserved == 0 && std::find(owned.begin(), owned.end(), item.first) == owned.end();
    });
}

std::vector<service_load_sum> server_admission::ownLoads() const
{
    const auto fleet = m_dependencies.directory.current();
    const std::vector<server_id> owned = m_dependencies.ownership.ownedServers();
    std::vector<service_load_sum> sums;
    const std::lock_guard lock { m_mutex };
    for (const auto& [service, servers] : fleet->servers) {
        service_load_sum sum { .service = service };
        for (const known_server& server : servers) {
            if (std::find(owned.begin(), owned.end(), server.id) == owned.end())
                continue;
            const auto state = m_servers.find(server.id);
            sum.running += state == m_servers.end() ? 0 : state->second.reserved;
            ++sum.servers;
        }
        if (sum.servers > 0)
            sums.push_back(sum);
    }
    return sums;
}

std::unordered_map<server_id, server_admission_state> server_admission::view() const
{
    const std::lock_guard lock { m_mutex };
    std::unordered_map<server_id, server_admission_state> views;
    for (const auto& [server, state] : m_servers) {
        const auto admission = m_services.find(state.service);
        views[server] = {
            .reserved = state.reserved,
            .limit = state.coldStartLimiter ? state.coldStartLimiter->limit() : 0,
            .bound = admission == m_services.end() ? 0 : admission->second.currentBound(),
            .isWarm = state.coldStartLimiter && state.coldStartLimiter->isWarm(),
        };
    }
    return views;
}

} // namespace radishflow
