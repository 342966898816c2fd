// Implements the admission of work to owned servers.
#include "radishflow/Daemon/server_gates.h"

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
static constexpr std::chrono::milliseconds windowRetry { 1 };
static constexpr int windowTries = 200;

static refusal refuseServer(const request_submission& submission, const char* title)
{
    return { .status = 503, .title = title, .detail = "server " + submission.server.value(), .retryAfter = fullServerRetry, .tryNextServer = true };
}

// An entry's view may be seconds old, so the owner looks at zones and leaving servers once more.
std::optional<refusal> server_gates::checkPlace(const request_submission& submission, const fleet_snapshot& fleet) const
{
    if (m_parts.ownership.ownerOf(submission.server) != m_parts.options.name)
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
    if (isNewWork && server->isZoneOut)
        return refuseServer(submission, "Availability zone is out of service");
    return std::nullopt;
}

// An engine shows with each first token whether it is still warm. No more than a cold one bears are sent before
// the next such sign, so that one that turns cold unnoticed is not pushed past its limit. A plain service shows
// nothing before its answer ends, so there the same rule would hold a warm server to its cold limit for ever.
static cold_start_limiter_options allowanceOptionsOf(const service_settings& service)
{
    const int coldLimit = std::min(service.coldLimit, service.serverLimit);
    return {
        .coldLimit = coldLimit,
        .fullLimit = service.serverLimit,
        .slowFirstTokenThreshold = service.firstTokenRange.atMost,
        .unconfirmedLimit = service.kind == service_kind::Model ? coldLimit : service.serverLimit,
    };
}

server_gates::server_state& server_gates::stateOf(const request_submission& submission, const service_settings& service)
{
    server_state& state = m_servers[submission.server];
    state.service = service.id;
    if (!state.allowance || state.fullLimit != service.serverLimit) {
        state.fullLimit = service.serverLimit;
        state.tickets.clear();
        state.allowance.emplace(allowanceOptionsOf(service));
    }
    return state;
}

service_admission& server_gates::admissionOf(const service_settings& service, const config_snapshot& config)
{
    service_admission& admission = m_services.try_emplace(service.id, m_clock, m_parts.options.name).first->second;
    if (admission.configuredWith() != config.pointer.version)
        admission.configure(service, config.config, config.pointer.version);
    return admission;
}

// The more servers are counted, the lower is the mean, so one whose owner is not known yet counts as well.
static int countListed(const fleet_snapshot& fleet, const service_id& service)
{
    const auto servers = fleet.servers.find(service);
    if (servers == fleet.servers.end())
        return 0;
    return static_cast<int>(std::count_if(servers->second.begin(), servers->second.end(), [](const known_server& server) { return !server.isLeaving && !server.isZoneOut; }));
}

void server_gates::setLoadsOf(service_admission& admission, const service_settings& service, int listed)
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

bool server_gates::isProbablyHeldAt(const request_submission& submission) const
{
    std::uint64_t prefix = 0;
    return parsePrefixName(submission.prefix, prefix) && isProbablyHeld(m_parts.prefixes.stateOf(submission.server, prefix, m_clock.now()));
}

std::optional<refusal> server_gates::reserveAt(const request_submission& submission, const service_settings& service, const config_snapshot& config, int listed)
{
    const bool isHeld = isProbablyHeldAt(submission);
    const std::lock_guard lock { m_mutex };
    server_state& state = stateOf(submission, service);
    service_admission& admission = admissionOf(service, config);
    setLoadsOf(admission, service, listed);
    const bool isModel = service.kind == service_kind::Model;
    const int admitted = isModel ? std::min(state.allowance->limit(), admission.boundNow()) : state.allowance->limit();
    const auto refuse = [&](const char* title, bool hasRoom) {
        refusal reason = refuseServer(submission, title);
        reason.hasRoom = hasRoom;
        reason.load = static_cast<double>(state.reserved) / std::max(1, admitted);
        reason.isHeld = isHeld;
        return reason;
    };
    if (state.reserved >= state.allowance->limit() || !state.allowance->canDispatch())
        return refuse(state.allowance->isWarm() ? "Server is full" : "Server is warming up", false);
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

std::optional<refusal> server_gates::reserve(const request_submission& submission)
{
    const auto config = m_parts.configuration.current();
    const service_settings* service = config ? findService(config->config, submission.service) : nullptr;
    if (!service)
        return refuseServer(submission, "Service unknown to the owner");
    const auto fleet = m_parts.directory.current();
    if (auto reason = checkPlace(submission, *fleet))
        return reason;
    if (auto reason = reserveAt(submission, *service, *config, countListed(*fleet, service->id)))
        return reason;
    auto reason = m_parts.crashes.admit(submission);
    if (reason) {
        const std::lock_guard lock { m_mutex };
        --m_servers[submission.server].reserved;
        m_services.at(submission.service).workspaces().finished(submission.workspace);
    }
    return reason;
}

// The ticket is drawn before the write, so that workers that come here together can't all see the last place.
std::optional<int> server_gates::drawTicket(const request_submission& submission)
{
    const std::lock_guard lock { m_mutex };
    server_state& state = m_servers[submission.server];
    if (!state.allowance->canDispatch())
        return std::nullopt;
    state.tickets[submission.attempt] = state.allowance->recordDispatch();
    return state.allowance->limit();
}

void server_gates::returnTicket(const request_submission& submission)
{
    const std::lock_guard lock { m_mutex };
    server_state& state = m_servers[submission.server];
    const auto ticket = state.tickets.find(submission.attempt);
    if (ticket == state.tickets.end())
        return;
    state.allowance->recordAbandonment(ticket->second);
    state.tickets.erase(ticket);
}

// The window between check and write is narrow on purpose; a burst waits here for the writes before it.
std::variant<term_number, refusal> server_gates::acquire(const request_submission& submission)
{
    const std::optional<int> limit = drawTicket(submission);
    if (!limit)
        return refuseServer(submission, "Server is warming up");
    refusal_reason reason = refusal_reason::WindowFull;
    for (int attempt = 0; attempt < windowTries && reason == refusal_reason::WindowFull; ++attempt) {
        const permit granted = m_parts.ownership.admit(submission.server, *limit);
        if (granted.isGranted)
            return granted.term;
        reason = granted.reason;
        std::this_thread::sleep_for(windowRetry);
    }
    returnTicket(submission);
    return refuseServer(submission, nameOf(reason));
}

// Whoever was in flight at a crash is suspect before its caller can send it again.
void server_gates::noteReset(const request_submission& submission, double startTime)
{
    {
        const std::lock_guard lock { m_mutex };
        m_servers[submission.server].allowance->recordConnectionReset();
    }
    const bool isCrash = m_reporter.hasCrashed(submission.server, startTime);
    spdlog::warn("step=\"lose connection\" peer={} request={} crashed={} fingerprint={:016x}", submission.server.value(), submission.request.value(), isCrash, submission.fingerprint);
    if (isCrash)
        m_reporter.spread(m_parts.crashes.crashed(submission, startTime));
}

void server_gates::noteFirstByte(const request_submission& submission, std::chrono::milliseconds wait)
{
    if (!submission.isModelCall)
        return;
    const std::lock_guard lock { m_mutex };
    server_state& state = m_servers[submission.server];
    const auto ticket = state.tickets.find(submission.attempt);
    if (ticket != state.tickets.end())
        state.allowance->recordFirstToken(ticket->second, wait);
}

write_gate server_gates::gateFor(const request_submission& submission)
{
    const double startTime = m_reporter.startTime(submission.server);
    return {
        .acquire = [this, &submission] { return acquire(submission); },
        .written = [this, &submission](term_number term) { m_parts.ownership.started(submission.server, term); },
        .released = [this, &submission](term_number term) { m_parts.ownership.finished(submission.server, term); },
        .firstByte = [this, &submission](std::chrono::milliseconds wait) { noteFirstByte(submission, wait); },
        .reset = [this, &submission, startTime] { noteReset(submission, startTime); },
    };
}

void server_gates::finish(const request_submission& submission, const exchange_outcome& outcome)
{
    m_parts.crashes.ended(submission, outcome.isWhole);
    const std::lock_guard lock { m_mutex };
    server_state& state = m_servers[submission.server];
    assert(state.reserved > 0 && "each reservation is finished once");
    --state.reserved;
    m_services.at(submission.service).workspaces().finished(submission.workspace);
    const auto ticket = state.tickets.find(submission.attempt);
    if (ticket == state.tickets.end())
        return;
    if (outcome.isWhole)
        state.allowance->recordCompletion(ticket->second);
    else
        state.allowance->recordAbandonment(ticket->second);
    state.tickets.erase(ticket);
}

void server_gates::observe(const server_id& server, const server_sample& sample)
{
    const std::lock_guard lock { m_mutex };
    const auto found = m_servers.find(server);
    if (found != m_servers.end() && found->second.allowance)
        found->second.allowance->observe(sample);
}

void server_gates::setFleetLoads(const std::unordered_map<service_id, fleet_load>& loads)
{
    const std::vector<server_id> owned = m_parts.ownership.ownedServers();
    const std::lock_guard lock { m_mutex };
    m_fleetLoads = loads;
    // A server that went to another owner no longer counts here, once what runs there has ended.
    std::erase_if(m_servers, [&](const auto& item) {
        return item.second.reserved == 0 && std::find(owned.begin(), owned.end(), item.first) == owned.end();
    });
}

std::vector<service_load_sum> server_gates::ownLoads() const
{
    const auto fleet = m_parts.directory.current();
    const std::vector<server_id> owned = m_parts.ownership.ownedServers();
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

std::unordered_map<server_id, gate_view> server_gates::view() const
{
    const std::lock_guard lock { m_mutex };
    std::unordered_map<server_id, gate_view> views;
    for (const auto& [server, state] : m_servers) {
        const auto admission = m_services.find(state.service);
        views[server] = {
            .reserved = state.reserved,
            .limit = state.allowance ? state.allowance->limit() : 0,
            .bound = admission == m_services.end() ? 0 : admission->second.boundNow(),
            .isWarm = state.allowance && state.allowance->isWarm(),
        };
    }
    return views;
}

} // namespace radishflow
