// Implements the HTTP pages served by the daemon itself.
#include "radishflow/Daemon/daemon_pages.h"

#include "radishflow/Edge/problem_details.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>

#include <algorithm>
#include <charconv>
#include <sstream>
#include <vector>

namespace radishflow {

static std::string textOf(const Poco::JSON::Object& object)
{
    std::ostringstream text;
    object.stringify(text, 2);
    text << '\n';
    return text.str();
}

static document problem(const refusal& reason)
{
    return { .status = reason.status, .contentType = "application/problem+json", .body = problemDetails(reason, request_id {}) };
}

static std::string parameter(const document_request& request, const char* name)
{
    const auto found = request.query.find(name);
    return found == request.query.end() ? std::string {} : found->second;
}

bool daemon_pages::isReady() const
{
    return m_dependencies.fleetMonitor.isReady();
}

document daemon_pages::answer(const document_request& request)
{
    if (request.path == "/v1/addresses")
        return addresses(request);
    if (request.path == "/v1/orders")
        return order(request);
    if (request.path == "/v1/operator/zones")
        return changeZone(request);
    if (request.path == "/healthz")
        return { .contentType = "text/plain", .body = "ok\n" };
    if (request.path == "/readyz")
        return { .status = isReady() ? 200 : 503, .contentType = "text/plain", .body = isReady() ? "ready\n" : "no configuration in force, or a service without an owned server\n" };
    if (request.path == "/v1/version")
        return { .body = "{\"config_version\":" + std::to_string(m_dependencies.configuration.version().value()) + "}\n" };
    if (request.path == "/debug/state")
        return state();
    return problem({ .status = 404, .title = "No such page", .detail = request.path });
}

// The caller's own zone comes first. The other zones follow, so that the caller has alternatives when its zone fails
// before the next query.
document daemon_pages::addresses(const document_request& request)
{
    const auto fleet = m_dependencies.directory.current();
    const auto wanted = request.query.find("zone");
    const zone_id own { wanted == request.query.end() ? m_dependencies.options.zone.value() : wanted->second };
    std::vector<const known_daemon*> usable;
    for (const known_daemon& daemon : fleet->daemons) {
        if (daemon.isReady && daemon.isAlive && !daemon.isLeaving && !fleet->zonesOutOfService.contains(daemon.zone))
            usable.push_back(&daemon);
    }
    std::stable_partition(usable.begin(), usable.end(), [&](const known_daemon* daemon) { return daemon->zone == own; });
    Poco::JSON::Array list;
    for (const known_daemon* daemon : usable) {
        Poco::JSON::Object entry { Poco::JSON_PRESERVE_KEY_ORDER };
        entry.set("address", daemon->http);
        entry.set("zone", daemon->zone.value());
        list.add(entry);
    }
    Poco::JSON::Object object { Poco::JSON_PRESERVE_KEY_ORDER };
    object.set("addresses", list);
    // Reservations are bound to this daemon: an order with a reservation as its key must be sent here, whether or not
    // the table is reachable.
    const std::string wantedReservations = parameter(request, "tickets");
    const workspace_id workspace { parameter(request, "workspace") };
    if (!wantedReservations.empty() && !workspace.empty()) {
        constexpr int maxReservations = 16;
        int count = 0;
        std::from_chars(wantedReservations.data(), wantedReservations.data() + wantedReservations.size(), count);
        Poco::JSON::Array reservations;
        for (const idempotency_key& reservation : m_dependencies.orders.issueReservations(workspace, std::clamp(count, 0, maxReservations)))
            reservations.add(reservation.value());
        object.set("tickets", reservations);
        object.set("tickets_address", m_dependencies.ownHttp);
    }
    object.set("keep_seconds", static_cast<int>(m_dependencies.options.addressKeep.count()));
    return { .body = textOf(object) };
}

document daemon_pages::order(const document_request& request)
{
    const workspace_id workspace { parameter(request, "workspace") };
    const idempotency_key key { parameter(request, "key") };
    if (workspace.empty() || key.empty())
        return problem({ .status = 400, .title = "Bad request", .detail = "workspace and key are needed" });
    const order_reply reply = m_dependencies.orders.lookUp(workspace, key);
    Poco::JSON::Object object { Poco::JSON_PRESERVE_KEY_ORDER };
    object.set("workspace", workspace.value());
    object.set("key", key.value());
    object.set("execution", nameOf(reply.execution));
    object.set("status", statusOf(reply));
    object.set("detail", reply.detail);
    return { .body = textOf(object) };
}

// The change takes effect here at once and propagates from here, even while the platform's table is unreachable.
document daemon_pages::changeZone(const document_request& request)
{
    const zone_id zone { parameter(request, "zone") };
    const std::string state = parameter(request, "state");
    if (request.method != "POST" || zone.empty() || (state != "in" && state != "out"))
        return problem({ .status = 400, .title = "Bad request", .detail = "POST with zone=ZONE and state=in or state=out" });
    const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch());
    const zone_state wanted = state == "out" ? zone_state::Out : zone_state::In;
    return valueOr(
        [&]() -> result<document> {
            BOOST_LEAF_AUTO(value, m_zones.change(zone, wanted, m_zones.versionOf(zone), now.count()));
            m_dependencies.fleetMonitor.refresh();
            Poco::JSON::Object object { Poco::JSON_PRESERVE_KEY_ORDER };
            object.set("zone", zone.value());
            object.set("state", state);
            object.set("version", value.version);
            return document { .body = textOf(object) };
        },
        [](const failure& error) { return problem({ .status = 409, .title = "Another change came first", .detail = describe(error) }); });
}

document daemon_pages::state() const
{
    const auto fleet = m_dependencies.directory.current();
    Poco::JSON::Object object { Poco::JSON_PRESERVE_KEY_ORDER };
    object.set("daemon", m_dependencies.options.name.value());
    object.set("zone", m_dependencies.options.zone.value());
    object.set("config_version", m_dependencies.configuration.version().value());
    object.set("term", m_dependencies.ownership.phase() == term_phase::Running ? "running" : m_dependencies.ownership.phase() == term_phase::Grace ? "dark"
                                                                                                                                                   : "ended");
    object.set("ready", isReady());
    object.set("streams", static_cast<int>(m_dependencies.runner.streams()));
    Poco::JSON::Array daemons;
    for (const known_daemon& daemon : fleet->daemons) {
        Poco::JSON::Object entry { Poco::JSON_PRESERVE_KEY_ORDER };
        entry.set("name", daemon.id.value());
        entry.set("zone", daemon.zone.value());
        entry.set("peer", daemon.peer);
        entry.set("http", daemon.http);
        entry.set("alive", daemon.isAlive);
        entry.set("ready", daemon.isReady);
        entry.set("leaving", daemon.isLeaving);
        daemons.add(entry);
    }
    object.set("daemons", daemons);
    const auto admissionStates = m_dependencies.admission.view();
    Poco::JSON::Array servers;
    for (const auto& [service, members] : fleet->servers) {
        for (const known_server& server : members) {
            Poco::JSON::Object entry { Poco::JSON_PRESERVE_KEY_ORDER };
            entry.set("server", server.id.value());
            entry.set("service", service.value());
            entry.set("zone", server.zone.value());
            entry.set("owner", server.owner.value());
            entry.set("takes_new_work", server.acceptsRequests());
            const auto found = admissionStates.find(server.id);
            const server_admission_state admissionState = found == admissionStates.end() ? server_admission_state {} : found->second;
            entry.set("running_here", admissionState.reserved);
            entry.set("limit_here", admissionState.limit);
            entry.set("bound_here", admissionState.bound);
            entry.set("warm", admissionState.isWarm);
            servers.add(entry);
        }
    }
    object.set("servers", servers);
    return { .body = textOf(object) };
}

} // namespace radishflow
