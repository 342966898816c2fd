// Implements the pages that a daemon answers itself.
#include "radishflow/Daemon/own_pages.h"

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

bool own_pages::isReady() const
{
    return m_parts.watch.isReady();
}

document own_pages::answer(const document_request& request)
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
        return { .body = "{\"config_version\":" + std::to_string(m_parts.configuration.version().value()) + "}\n" };
    if (request.path == "/debug/state")
        return state();
    return problem({ .status = 404, .title = "No such page", .detail = request.path });
}

// The caller's own zone comes first; the other zones follow so that a caller has somewhere to go when its
// zone is lost before it asks again.
document own_pages::addresses(const document_request& request)
{
    const auto fleet = m_parts.directory.current();
    const auto wanted = request.query.find("zone");
    const zone_id own { wanted == request.query.end() ? m_parts.options.zone.value() : wanted->second };
    std::vector<const known_daemon*> usable;
    for (const known_daemon& daemon : fleet->daemons) {
        if (daemon.isReady && daemon.isAlive && !daemon.isLeaving && !fleet->zonesOut.contains(daemon.zone))
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
    // Tickets are bound to this daemon: an order that carries one as its key is sent here, table or no table.
    const std::string wantedTickets = parameter(request, "tickets");
    const workspace_id workspace { parameter(request, "workspace") };
    if (!wantedTickets.empty() && !workspace.empty()) {
        constexpr int mostTickets = 16;
        int count = 0;
        std::from_chars(wantedTickets.data(), wantedTickets.data() + wantedTickets.size(), count);
        Poco::JSON::Array tickets;
        for (const idempotency_key& ticket : m_parts.orders.issueTickets(workspace, std::clamp(count, 0, mostTickets)))
            tickets.add(ticket.value());
        object.set("tickets", tickets);
        object.set("tickets_address", m_parts.ownHttp);
    }
    object.set("keep_seconds", static_cast<int>(m_parts.options.addressKeep.count()));
    return { .body = textOf(object) };
}

document own_pages::order(const document_request& request)
{
    const workspace_id workspace { parameter(request, "workspace") };
    const idempotency_key key { parameter(request, "key") };
    if (workspace.empty() || key.empty())
        return problem({ .status = 400, .title = "Bad request", .detail = "workspace and key are needed" });
    const order_reply reply = m_parts.orders.lookUp(workspace, key);
    Poco::JSON::Object object { Poco::JSON_PRESERVE_KEY_ORDER };
    object.set("workspace", workspace.value());
    object.set("key", key.value());
    object.set("execution", nameOf(reply.execution));
    object.set("status", statusOf(reply));
    object.set("detail", reply.detail);
    return { .body = textOf(object) };
}

// The change takes effect here at once and spreads from here, also while the platform's table is dark.
document own_pages::changeZone(const document_request& request)
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
            m_parts.watch.refresh();
            Poco::JSON::Object object { Poco::JSON_PRESERVE_KEY_ORDER };
            object.set("zone", zone.value());
            object.set("state", state);
            object.set("version", value.version);
            return document { .body = textOf(object) };
        },
        [](const failure& error) { return problem({ .status = 409, .title = "Another change came first", .detail = describe(error) }); });
}

document own_pages::state() const
{
    const auto fleet = m_parts.directory.current();
    Poco::JSON::Object object { Poco::JSON_PRESERVE_KEY_ORDER };
    object.set("daemon", m_parts.options.name.value());
    object.set("zone", m_parts.options.zone.value());
    object.set("config_version", m_parts.configuration.version().value());
    object.set("term", m_parts.ownership.phase() == term_phase::Running ? "running" : m_parts.ownership.phase() == term_phase::Grace ? "dark"
                                                                                                                                     : "ended");
    object.set("ready", isReady());
    object.set("streams", static_cast<int>(m_parts.runner.streams()));
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
    const auto gates = m_parts.gates.view();
    Poco::JSON::Array servers;
    for (const auto& [service, members] : fleet->servers) {
        for (const known_server& server : members) {
            Poco::JSON::Object entry { Poco::JSON_PRESERVE_KEY_ORDER };
            entry.set("server", server.id.value());
            entry.set("service", service.value());
            entry.set("zone", server.zone.value());
            entry.set("owner", server.owner.value());
            entry.set("takes_new_work", server.takesNewWork());
            const auto found = gates.find(server.id);
            const gate_view gate = found == gates.end() ? gate_view {} : found->second;
            entry.set("running_here", gate.reserved);
            entry.set("limit_here", gate.limit);
            entry.set("bound_here", gate.bound);
            entry.set("warm", gate.isWarm);
            servers.add(entry);
        }
    }
    object.set("servers", servers);
    return { .body = textOf(object) };
}

} // namespace radishflow
