// Wires the relay, the routing, the fleet and the users' platform into one daemon.
#include "relay_daemon.h"

#include "radishflow/Fleet/fleet_membership.h"
#include "radishflow/Fleet/hint_exchange.h"
#include "radishflow/Relay/caller_listener.h"
#include "radishflow/Relay/document_session.h"
#include "radishflow/Relay/relay_session.h"
#include "radishflow/Threads/periodic_task.h"

#include "daemon_rows.h"
#include "lookup_answer.h"
#include "platform_feed.h"
#include "wire_protocol.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <thread>

namespace radishflow {

// How long callers keep an address; three times as long at most, which has to end within the grace of a stop.
static constexpr std::chrono::milliseconds lookupLifetime { 2000 };
// Time between the end of a stop and the platform's kill.
static constexpr std::chrono::milliseconds stopMargin { 500 };
static constexpr std::chrono::milliseconds fleetInterval { 250 };
static constexpr std::chrono::milliseconds catchUpInterval { 150 };
// Between looks at the list of daemons; the gossip finds the others from any one of them.
static constexpr std::chrono::seconds announceInterval { 10 };
static constexpr std::chrono::seconds announceRetry { 1 };
// Descriptors that are left for servers, the store and files.
static constexpr std::size_t reservedDescriptors = 1000;
// Keys without a bound of the operator's are trusted for as long as the process runs.
static constexpr std::chrono::hours unboundedTrust { 24 * 365 };
static constexpr std::chrono::milliseconds overloadRetryAfter { 500 };

static std::string withPort(const std::string& address, std::uint16_t port)
{
    return address.substr(0, address.find(':')) + ':' + std::to_string(port);
}

// Members stand in the order of their dependence: a later one uses earlier ones and is destroyed before them.
struct relay_daemon::state {
    relay_daemon_options options;
    boottime_clock clock;
    wire_protocol protocol;
    shared_routing routing;
    server_ledger<boottime_clock> ledger { clock };
    retry_shares<boottime_clock> retries;
    key_freshness freshness;
    crash_quarantine crashes;
    server_connection_pool connections;
    stop_state stop;
    relay_metrics metrics;
    relay_context parts;
    fleet_membership fleet;
    hint_exchange hints;
    platform_feed feed;
    daemon_rows rows;
    time_point nextAnnounce {};
    bool isAnnounced = false;
    std::atomic<bool> isReady = false;
    std::unique_ptr<caller_listener> listener;
    std::unique_ptr<periodic_task> fleetTask;
    std::unique_ptr<periodic_task> announceTask;
    std::unique_ptr<periodic_task> catchUpTask;

    explicit state(const relay_daemon_options& theOptions)
        : options(theOptions)
        , retries(clock, { .ratio = options.platform.retryRatio, .slack = options.platform.retrySlack })
        , freshness(options.platform.areKeysRevokedStrictly ? duration { options.platform.keyRevocation } : duration { unboundedTrust })
        , parts { .zone = options.platform.zone, .routing = routing, .ledger = ledger, .retries = retries, .freshness = freshness, .crashes = crashes, .connections = connections, .stop = stop, .metrics = metrics }
        , fleet({ .daemon = options.platform.daemon, .zone = options.platform.zone, .region = options.platform.region, .peerAddress = peerAddress(), .callerAddress = options.platform.callerAddress })
        , hints({ .address = withPort(options.platform.ip, options.platform.firstOwnPort + 1), .heard = [this](const server_hints& heard) {
                      ledger.noteShared(heard.loads);
                      ledger.noteSharedHomes(heard.homes);
                      crashes.merge(heard.crashes); } })
        , feed(options.platform, routing, ledger, freshness)
        , rows(options.platform.storeAddress, options.platform.daemon, peerAddress())
    {
        seedFleet(options.platform.seedAddresses);
        listener = std::make_unique<caller_listener>(endpoints(), listenerOptions());
        fleetTask = std::make_unique<periodic_task>(fleetInterval, [this] { refresh(); });
        announceTask = std::make_unique<periodic_task>(std::chrono::milliseconds { announceRetry }, [this] { announce(); });
        catchUpTask = std::make_unique<periodic_task>(catchUpInterval, [this] { feed.catchUp(); });
    }

    std::string peerAddress() const { return withPort(options.platform.ip, options.platform.firstOwnPort); }

    // All daemons use the same port, whatever port an address was listed with.
    void seedFleet(const std::vector<std::string>& addresses)
    {
        std::vector<std::string> peers;
        peers.reserve(addresses.size());
        for (const std::string& address : addresses)
            peers.push_back(withPort(address, options.platform.firstOwnPort));
        fleet.seed(peers);
    }

    caller_listener_options listenerOptions() const
    {
        const std::size_t descriptors = options.platform.mostDescriptors;
        return {
            .workers = options.workers,
            .maxConnections = descriptors > 2 * reservedDescriptors ? descriptors - reservedDescriptors : descriptors / 2,
            .idleTimeout = [this] {
                const auto routes = routing.routes();
                return routes ? routes->limits().idleTimeout : caller_limits {}.idleTimeout; },
            .overloadResponse = writeRefusal({ .title = "Too many requests at once", .detail = "this daemon serves no more now", .retryAfter = overloadRetryAfter }, {}, false),
        };
    }

    std::vector<listen_endpoint> endpoints()
    {
        const auto documents = [this](std::string address, document (state::*page)(const std::string&)) {
            return listen_endpoint { .address = std::move(address), .serve = [this, page](relay_socket& socket) { return serveDocuments(socket, [this, page](const std::string& target) { return (this->*page)(target); }); } };
        };
        return {
            { .address = options.platform.callerAddress, .serve = [this](relay_socket& caller) { return serveCaller(protocol, parts, caller); } },
            documents(options.platform.readinessAddress, &state::readinessPage),
            documents(options.platform.lookupAddress, &state::lookupPage),
            documents(withPort(options.platform.ip, options.metricsPort), &state::metricsPage),
        };
    }

    document readinessPage(const std::string&)
    {
        const bool takes = isReady && !stop.isStopping();
        return { .status = takes ? 200 : 503, .contentType = "text/plain", .body = takes ? "ready\n" : "not ready\n" };
    }

    document lookupPage(const std::string& target)
    {
        if (!isLookup(target))
            return { .status = 404, .contentType = "text/plain", .body = "not found\n" };
        const auto view = routing.fleet();
        std::vector<std::string> ready;
        std::vector<std::string> all;
        for (const fleet_daemon& daemon : view->daemons) {
            const bool isSelf = daemon.id == view->self;
            if (isSelf && stop.isStopping())
                continue;
            all.push_back(daemon.callerAddress);
            if (isSelf ? isReady.load() : daemon.takesCallers)
                ready.push_back(daemon.callerAddress);
        }
        // Where nobody is known to be ready, callers fare better with an address than with none.
        return { .status = 200, .body = writeLookupAnswer(ready.empty() ? all : ready, lookupLifetime) };
    }

    document metricsPage(const std::string&)
    {
        metrics.setGauge("busy", listener->activeConnections());
        metrics.setGauge("connections", listener->connections());
        metrics.setGauge("fleet_size", static_cast<double>(routing.fleet()->size));
        metrics.setGauge("config_age_seconds", std::chrono::duration<double>(freshness.age(clock.now())).count());
        const auto routes = routing.routes();
        metrics.setGauge("config_version", routes ? static_cast<double>(routes->version().value()) : 0);
        return { .status = 200, .contentType = "text/plain; version=0.0.4", .body = metrics.text() };
    }

    void refresh()
    {
        connections.prune(clock.now());
        const auto before = routing.fleet();
        const auto view = fleet.view();
        if (before->daemons.size() != view->daemons.size())
            spdlog::info("event=fleet_changed daemons={} size={} isolated={}", view->daemons.size(), view->size, fleet.isIsolated());
        routing.setFleet(view);
        feed.refresh(fleet, view->size);
        hints.send({ .loads = ledger.takeReports(), .crashes = crashes.takeNewRecords(), .homes = ledger.takeHomes() }, *view);
        const bool ready = routing.routes() && routing.servers() && freshness.age(clock.now()) < freshness.staleAge();
        if (isReady.exchange(ready) != ready) {
            spdlog::info("event=readiness_changed ready={} config_age_ms={}", ready, std::chrono::duration_cast<std::chrono::milliseconds>(freshness.age(clock.now())).count());
            fleet.setTakesCallers(ready);
        }
    }

    void announce()
    {
        if (stop.isStopping() || clock.now() < nextAnnounce)
            return;
        nextAnnounce = clock.now() + announceInterval;
        valueOr(
            [&]() -> result<bool> {
                if (!isAnnounced)
                    BOOST_LEAF_CHECK(rows.announce());
                isAnnounced = true;
                BOOST_LEAF_AUTO(addresses, rows.read());
                addresses.insert(addresses.end(), options.platform.seedAddresses.begin(), options.platform.seedAddresses.end());
                seedFleet(addresses);
                return true;
            },
            [&](const failure& error) {
                spdlog::warn("event=announce_failed step=\"{}\" peer={} error=\"{}\"", error.step, error.peer, error.detail);
                nextAnnounce = {};
                return false;
            });
    }
};

relay_daemon::relay_daemon(const relay_daemon_options& options)
    : m_state(std::make_unique<state>(options))
{
}

relay_daemon::~relay_daemon() = default;

void relay_daemon::drain()
{
    const time_point end = m_state->clock.now() + m_state->options.platform.stopGrace - stopMargin;
    m_state->stop.requestStop(end);
    m_state->fleet.leave();
    m_state->announceTask.reset();
    valueOr([&] { return m_state->rows.withdraw(); },
        [](const failure& error) {
            spdlog::warn("event=withdraw_failed step=\"{}\" peer={} error=\"{}\"", error.step, error.peer, error.detail);
            return false;
        });
    // Callers that still have the address are served until the end, since each connects when it likes.
    std::this_thread::sleep_for(end - m_state->clock.now());
    spdlog::info("event=stop daemon={} cut_requests={}", m_state->options.platform.daemon.value(), m_state->listener->activeConnections());
}

} // namespace radishflow
