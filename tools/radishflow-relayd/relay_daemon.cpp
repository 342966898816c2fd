// Implements relay_daemon, which combines the relay, the routing, the fleet and the users' platform in one process.
#include "relay_daemon.h"

#include "radishflow/Fleet/fleet_membership.h"
#include "radishflow/Fleet/hint_exchange.h"
#include "radishflow/Fleet/peer_tokens.h"
#include "radishflow/Fleet/readiness_gate.h"
#include "radishflow/Fleet/store_followers.h"
#include "radishflow/Fleet/stream_origin_exchange.h"
#include "radishflow/Fleet/stream_origin_recorder.h"
#include "radishflow/Relay/caller_listener.h"
#include "radishflow/Relay/document_session.h"
#include "radishflow/Relay/relay_log.h"
#include "radishflow/Relay/relay_session.h"
#include "radishflow/Relay/server_access.h"
#include "radishflow/Routing/caller_addresses.h"
#include "radishflow/Routing/version_history.h"
#include "radishflow/Threads/periodic_task.h"

#include "crash_table.h"
#include "daemon_registry.h"
#include "lookup_response.h"
#include "origin_table.h"
#include "peer_changes.h"
#include "platform_feed.h"
#include "rollout_statuses.h"
#include "server_report.h"
#include "version_table.h"
#include "wire_protocol.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <future>
#include <optional>
#include <stop_token>
#include <thread>
#include <utility>

namespace radishflow {

// How long callers may cache an address. They may keep it for up to three times as long, which must end within the grace
// period of a stop.
static constexpr std::chrono::milliseconds lookupLifetime { 2000 };
// Time between the end of a drain and the moment at which the platform kills the process.
static constexpr std::chrono::milliseconds stopMargin { 500 };
// A leaving server serves for at least the time in which new requests to it must cease, so one that ends within this share of it has
// crashed. The rest covers the time in which lists arrive.
static constexpr int exitNoticeDivisor = 2;
static constexpr std::chrono::milliseconds refreshInterval { 250 };
// Daemons that dispatch requests change rarely, and a datagram may be lost.
static constexpr std::chrono::milliseconds tokenInterval { 1000 };
// Daemons that send their evidence of roll-outs in each interval of refresh(); more take turns over several, so that the link of a
// coordinator bears it.
static constexpr std::size_t daemonsPerEvidenceRound = 100;
static constexpr std::chrono::milliseconds catchUpInterval { 150 };
// Later than this after the start of a daemon, its own history of versions reaches back as far as any stream is resumed.
static constexpr std::chrono::seconds originMemory { 30 };
static constexpr std::chrono::milliseconds startCheckInterval { 10 };
static constexpr std::chrono::milliseconds identifyInterval { 50 };
// A server responds to queries for its state without a queue, but its host may be slow.
static constexpr std::chrono::milliseconds reportTimeout { 400 };
// Queries to hosts without power must not delay those to servers that respond.
static constexpr std::size_t maxServersToIdentify = 16;
// The platform removes an entry after three intervals without a renewal; the fourth one covers the way of the list to this daemon.
static constexpr int renewalsToLapse = 4;
// Interval at which the store's list of daemons is read, per daemon of the fleet, so that the load on the store does not grow
// with the fleet. The gossip protocol discovers the whole fleet from any one member.
static constexpr std::chrono::milliseconds announceIntervalPerDaemon { 1000 };
static constexpr std::chrono::seconds minAnnounceInterval { 10 };
static constexpr std::chrono::seconds announceRetryInterval { 1 };
// File descriptors reserved for connections to servers and the store, and for files.
static constexpr std::size_t reservedDescriptors = 1000;
// If the operator sets no strict bound, keys are trusted for as long as the process runs.
static constexpr std::chrono::hours unboundedKeyTrust { 24 * 365 };
static constexpr std::chrono::milliseconds overloadRetryAfter { 500 };
// Requests of other daemons are served only while fewer than three quarters of the workers are busy.
static constexpr int busyNumerator = 3;
static constexpr int busyDenominator = 4;

// Shares of the process's memory that bodies may take; the rest is for everything else, and for bytes that have not been read.
static constexpr double requestBodyShare = 0.45;
static constexpr double responseBodyShare = 0.25;

static std::size_t shareOfMemory(const relay_daemon_options& options, double share)
{
    return static_cast<std::size_t>(static_cast<double>(options.platform.maxMemoryBytes) * share);
}

static std::string withPort(const std::string& address, std::uint16_t port)
{
    return address.substr(0, address.find(':')) + ':' + std::to_string(port);
}

// Members are declared in the order of their dependencies: each uses earlier ones only and is destroyed before them.
struct relay_daemon::state {
    relay_daemon_options options;
    boottime_clock clock;
    time_point startedAt { clock.now() };
    wire_protocol protocol;
    shared_routing routing;
    load_balancer<boottime_clock> balancer { clock };
    retry_shares<boottime_clock> retries;
    key_freshness freshness;
    crash_quarantine crashes;
    rollout_manager<boottime_clock> rollouts;
    slot_dispatch slots { [this](const service_id& service) { return options.dispatchesFewSlots && balancer.isContended() && !balancer.reportsLoad(service); } };
    version_history versions;
    stream_origin_recorder originRecorder;
    stream_origin_exchange originExchange;
    version_table versionRows;
    origin_table originRows;
    stream_origins origins;
    std::function<bool(const listed_server&)> confirmsProcess { [this](const listed_server& server) { return confirmProcess(server); } };
    server_connection_pool connections;
    body_memory requestBodies { shareOfMemory(options, requestBodyShare) };
    response_memory bufferedResponses { shareOfMemory(options, responseBodyShare) };
    response_times<boottime_clock> responseTimes { clock };
    stop_state stop;
    relay_metrics metrics;
    fleet_membership fleet;
    server_access access; // Uses the hints once requests are served.
    hint_exchange hints;
    peer_tokens tokens;
    forwarding_settings forwarding;
    relay_context parts;
    crash_table crashRows;
    platform_feed feed;
    rollout_statuses rolloutRows; // Used by coordinateRollouts() only.
    daemon_registry rows;
    std::optional<time_point> lastAnnouncedAt;
    std::uint64_t announcedEra = 0;
    std::uint64_t recordedEra = 0; // Used by recordOrigins() only.
    bool isAnnounced = false;
    bool hasReadDaemonList = false;
    time_point tokensSentAt {}; // Used by refresh() only.
    bool hasPublishedProcessor = false; // Used by refresh() only.
    readiness_gate<boottime_clock> readiness { clock }; // Used by refresh() only.
    std::atomic<bool> isReady = false;
    std::unique_ptr<caller_listener> listener;
    std::unique_ptr<periodic_task> refreshTask;
    std::unique_ptr<periodic_task> announceTask;
    std::jthread startCheck;
    std::unique_ptr<periodic_task> fetchTask;
    std::unique_ptr<periodic_task> catchUpTask;
    std::unique_ptr<periodic_task> rowsTask;
    std::unique_ptr<periodic_task> originsTask;
    std::unique_ptr<periodic_task> identifyTask;
    time_point evidenceSentAt {}; // Used by coordinateRollouts() only.
    std::unique_ptr<periodic_task> rolloutTask; ///< Null if the operator orders no roll-outs.

    explicit state(const relay_daemon_options& daemonOptions)
        : options(daemonOptions)
        , retries(clock, { .ratio = options.platform.retryRatio, .slack = options.platform.retrySlack, .startsFull = options.platform.isFirstStart })
        , freshness(options.platform.areKeysRevokedStrictly ? duration { options.platform.maxRevocationDelay } : duration { unboundedKeyTrust })
        , crashes({ .minNotice = options.platform.maxDrainDelay / exitNoticeDivisor })
        , rollouts(clock, { .isEnabled = options.platform.hasRollouts, .maxExposure = options.platform.maxRolloutExposure })
        , originRecorder({ .isNeeded = [this](const version_key& version) { return versions.isServiceMixed(version, clock.now()); },
              .send = [this](const std::vector<stream_origin>& sent, const std::string& host) { originExchange.sendTo(sent, host); },
              .write = [this](const std::vector<stream_origin>& recorded, std::size_t recorder) { return originRows.write(recorded, recorder); },
              .maxOriginsPerWrite = origin_table::maxOriginsPerRow })
        , originExchange(withPort(options.platform.ip, streamOriginsPort(options.platform)), [this](const stream_origin& origin) { originRecorder.receive(origin, clock.now()); })
        , versionRows({ .storeAddress = options.platform.storeAddress, .isFirstStart = options.platform.isFirstStart, .toStoreTime = [this](time_point time) { return feed.toStoreTime(time); }, .toLocalTime = [this](std::chrono::milliseconds storeTime) { return feed.toLocalTime(storeTime); } }, versions)
        , originRows({ .storeAddress = options.platform.storeAddress, .toStoreTime = [this](time_point time) { return feed.toStoreTime(time); } })
        , origins { .publish = [this](const stream_origin& origin) {
                       originExchange.publish(origin, *routing.fleet());
                       originRecorder.addOwn(origin, clock.now()); },
            .find = [this](const service_id& service, const request_id& request) { return findOrigin(service, request); } }
        , fleet({ .daemon = options.platform.daemon, .zone = options.platform.zone, .region = options.platform.region, .peerAddress = peerAddress(), .callerAddress = options.platform.callerAddress })
        , access(routing, { .askPeers = [this](const std::vector<std::uint32_t>& services) { hints.send({ .contacts = access.contacts(), .askedServices = services }, *routing.fleet()); }, .answerPeer = [this](const std::string& host) { hints.sendTo({ .contacts = access.contacts() }, host); }, .onChange = [this](bool hasLostAll) { fleet.publishServerAccess(!hasLostAll); }, .onCrash = [this](const listed_server& server) { crashes.recordCrash(server); }, .onRecovery = [this](const service_id& service) { recordRecovery(service); } })
        , hints({ .address = withPort(options.platform.ip, hintsPort(options.platform)), .onReceive = [this](const server_hints& received, const std::string& host) { receiveHints(received, host); } })
        , forwarding { .daemon = options.platform.daemon, .token = fleet.forwardingToken(), .isKnownToken = [this](const daemon_id& daemon, const std::string& token) { return tokens.contains(daemon, token); }, .port = ':' + std::to_string(forwardingPort(options.platform)), .hasCapacity = [this] { return listener->activeConnections() * busyDenominator < options.workers * busyNumerator; } }
        , parts { .zone = options.platform.zone, .routing = routing, .balancer = balancer, .retries = retries, .freshness = freshness, .crashes = crashes, .connections = connections, .access = access, .rollouts = rollouts, .slots = slots, .forwarding = forwarding, .origins = origins, .confirmsProcess = confirmsProcess, .requestBodies = requestBodies, .bufferedResponses = bufferedResponses, .responseTimes = responseTimes, .stop = stop, .metrics = metrics }
        , crashRows(crashTableOptions())
        , feed(options.platform, routing, balancer, freshness, crashRows, rollouts)
        , rolloutRows({ .storeAddress = options.platform.storeAddress, .toStoreTime = [this](time_point time) { return feed.toStoreTime(time); }, .toLocalTime = [this](std::chrono::milliseconds storeTime) { return feed.toLocalTime(storeTime); } }, rollouts)
        , rows(options.platform.storeAddress, options.platform.daemon, peerAddress())
    {
        if (options.platform.doCallersCompete)
            balancer.setContended();
        seedFleet(options.platform.seedAddresses);
        fleet.publishServerAccess(true);
        listener = std::make_unique<caller_listener>(endpoints(), listenerOptions());
        startCheck = std::jthread { [this](const std::stop_token& stopped) {
            while (!stopped.stop_requested() && !feed.checkStart())
                std::this_thread::sleep_for(startCheckInterval); } };
        refreshTask = std::make_unique<periodic_task>(refreshInterval, [this] { refresh(); });
        announceTask = std::make_unique<periodic_task>(std::chrono::milliseconds { announceRetryInterval }, [this] { announce(); });
        fetchTask = std::make_unique<periodic_task>(catchUpInterval, [this] { feed.fetchFromFleet(); });
        catchUpTask = std::make_unique<periodic_task>(catchUpInterval, [this] { feed.catchUp(); });
        identifyTask = std::make_unique<periodic_task>(identifyInterval, [this] { identifyServers(); });
        if (rollouts.isEnabled())
            rolloutTask = std::make_unique<periodic_task>(refreshInterval, [this] { coordinateRollouts(); });
        rowsTask = std::make_unique<periodic_task>(refreshInterval, [this] {
            crashRows.flush(clock.now(), isFirstFollower());
            recordVersions(); });
        originsTask = std::make_unique<periodic_task>(refreshInterval, [this] { recordOrigins(); });
    }

    void receiveHints(const server_hints& received, const std::string& host)
    {
        if (!received.askedServices.empty())
            access.answer(host, received.askedServices);
        for (const std::uint32_t service : received.askedServices)
            access.peers().recordStatement(host, service, std::nullopt);
        for (const service_contact& contact : received.contacts)
            access.peers().recordStatement(host, contact.service, contact.age);
        balancer.recordPeerLoads(received.loads, !hints.reachesAll(*routing.fleet()));
        balancer.recordPeerDelays(received.delays);
        balancer.mergePromptUpdates(received.promptHolders);
        if (const auto servers = routing.servers()) {
            balancer.recordPeerLimits(*servers, received.limits);
            balancer.mergePromptReports(*servers, received.promptReports);
        }
        if (!received.sender.empty())
            tokens.record(received.sender, received.senderToken);
        for (const rollout_notice& notice : received.rolloutNotices)
            rollouts.mergeNotice(notice);
        for (const rollout_evidence& evidence : received.rolloutEvidence)
            rollouts.mergeEvidence(host, evidence);
        recordCrashesAtPeers(received.crashes);
        crashes.merge(received.crashes);
        crashes.mergeParts(received.parts);
    }

    // A daemon that had no connection to a crashed server does not notice the crash itself.
    void recordCrashesAtPeers(const std::vector<crash_record>& records)
    {
        const auto servers = records.empty() ? nullptr : routing.servers();
        for (const crash_record& record : records) {
            if (const listed_server* server = servers ? findProcess(*servers, record.server) : nullptr)
                balancer.recordConnectFailure(*server, clock.now());
        }
    }

    void recordRecovery(const service_id& service)
    {
        balancer.forgetFailures(service);
        if (const auto servers = routing.servers())
            balancer.resetIdentification(*servers, service);
    }

    void identifyServers()
    {
        const auto servers = routing.servers();
        if (!servers)
            return;
        const std::vector<listed_server> due = balancer.takeServersToIdentify(*servers, maxServersToIdentify);
        std::vector<std::future<void>> running;
        running.reserve(due.size());
        for (const listed_server& server : due)
            running.push_back(std::async(std::launch::async, [this, &server] { identify(server); }));
        for (std::future<void>& query : running)
            query.get();
    }

    bool confirmProcess(const listed_server& server)
    {
        if (balancer.hasJustStatedProcess(server))
            return true;
        const time_point queriedAt = clock.now();
        if (!identify(server)) {
            balancer.recordSilence(server, queriedAt);
            // The path to all servers may be lost, so that another daemon has to send the request.
            access.recordConnectFailure(server);
        }
        return balancer.hasJustStatedProcess(server);
    }

    /// Returns whether the server has responded to the query.
    bool identify(const listed_server& server)
    {
        const time_point queriedAt = clock.now();
        return valueOr(
            [&]() -> result<bool> {
                BOOST_LEAF_AUTO(processStartMs, readProcessStart(server.address, reportTimeout));
                balancer.recordProcess(server, processStartMs, queriedAt);
                spdlog::info("event=server_identified server={} listed_start={} start={}", server.id.value(), server.processStartMs, processStartMs);
                return true;
            },
            [&](const failure& error) {
                spdlog::info("event=server_not_identified server={} step=\"{}\" peer={} error=\"{}\"", server.id.value(), error.step, error.peer, error.detail);
                return false;
            });
    }

    // One daemon records the versions of the services for the fleet.
    void recordVersions()
    {
        if (routing.servers() && isFirstFollower() && clock.now() - feed.serversConfirmedAt() < freshness.staleAge())
            versionRows.record(feed.storeEra());
    }

    void recordOrigins()
    {
        // A store that came back from a copy may have lost rows.
        if (std::exchange(recordedEra, feed.storeEra()) != feed.storeEra())
            originRecorder.recordAgain();
        if (originRows.isWriteDue())
            originRecorder.record(*routing.fleet(), clock.now());
    }

    // A service whose servers have had only one version for long needs no record of its streams, such as after a restart of
    // all daemons that had one. A daemon that no longer learns of changes cannot know that.
    std::optional<version_key> findOrigin(const service_id& service, const request_id& request)
    {
        if (!request.empty()) {
            if (const auto recorded = originRows.findKnown(streamKeyOf(request)))
                return recorded;
            if (const auto held = originExchange.find(streamKeyOf(request), [this] { return routing.fleet(); }))
                return held;
        }
        if (clock.now() - feed.serversConfirmedAt() < freshness.staleAge()) {
            if (clock.now() - startedAt <= originMemory && !versions.soleVersion(service, clock.now()))
                versionRows.merge();
            if (const auto sole = versions.soleVersion(service, clock.now()))
                return sole;
        }
        return request.empty() ? std::nullopt : originRows.find(streamKeyOf(request));
    }

    crash_table_options crashTableOptions()
    {
        return {
            .storeAddress = options.platform.storeAddress,
            .retention = crash_quarantine::retention,
            .onRead = [this](const std::vector<crash_record>& records) { crashes.merge(records); },
            .onPartsRead = [this](const std::vector<part_evidence>& added) { crashes.addPartRows(added); },
            .onPartsRemoved = [this](const std::vector<part_evidence>& removed) { crashes.removePartRows(removed); },
            .toStoreTime = [this](time_point time) { return feed.toStoreTime(time); },
            .toLocalTime = [this](std::chrono::milliseconds storeTime) { return feed.toLocalTime(storeTime); },
        };
    }

    std::string peerAddress() const { return withPort(options.platform.ip, options.platform.firstPeerPort); }

    // All daemons use the same gossip port, so the port of a listed address is replaced.
    void seedFleet(const std::vector<std::string>& addresses)
    {
        std::vector<std::string> peers;
        peers.reserve(addresses.size());
        for (const std::string& address : addresses)
            peers.push_back(withPort(address, options.platform.firstPeerPort));
        fleet.seed(peers);
        feed.addDaemons(addresses, false);
    }

    static std::string overloadResponse(std::string_view extraFields)
    {
        return writeRefusal({ .title = "Too many requests at once", .detail = "this daemon serves no more now", .retryAfter = overloadRetryAfter }, {}, false, extraFields);
    }

    caller_listener_options listenerOptions() const
    {
        const std::size_t descriptors = options.platform.maxDescriptors;
        return {
            .workers = options.workers,
            .maxConnections = descriptors > 2 * reservedDescriptors ? descriptors - reservedDescriptors : descriptors / 2,
            .idleTimeout = [this] {
                const auto routes = routing.routes();
                return routes ? routes->limits().idleTimeout : caller_limits {}.idleTimeout; },
            .overloadResponse = overloadResponse({}),
        };
    }

    std::vector<listen_endpoint> endpoints()
    {
        const auto documents = [this](std::string address, document (state::*page)(const std::string&)) {
            return listen_endpoint { .address = std::move(address), .serve = [this, page](relay_socket& socket) { return serveDocuments(socket, [this, page](const std::string& target) { return (this->*page)(target); }); } };
        };
        return {
            { .address = options.platform.callerAddress, .serve = [this](relay_socket& caller) { return serveCaller(protocol, parts, caller); } },
            { .address = withPort(options.platform.ip, forwardingPort(options.platform)),
                .serve = [this](relay_socket& peer) { return serveForwarded(protocol, parts, peer); },
                .overloadResponse = overloadResponse(writeForwardedFields({ .execution = execution_state::NotRun, .scope = refusal_scope::Capacity })) },
            documents(options.platform.readinessAddress, &state::readinessPage),
            documents(options.platform.lookupAddress, &state::lookupPage),
            documents(withPort(options.platform.ip, options.metricsPort), &state::metricsPage),
            documents(withPort(options.platform.ip, peerChangesPort(options.platform)), &state::peerRowsPage),
        };
    }

    document readinessPage(const std::string&)
    {
        const bool isAccepting = isReady && !stop.isStopping();
        return { .status = isAccepting ? 200 : 503, .contentType = "text/plain", .body = isAccepting ? "ready\n" : "not ready\n" };
    }

    document lookupPage(const std::string& target)
    {
        if (!isLookupTarget(target))
            return { .status = 404, .contentType = "text/plain", .body = "not found\n" };
        const auto addresses = callerAddresses(*routing.fleet(), { .isReady = isReady.load(), .isStopping = stop.isStopping(), .reachesServers = !access.hasLostAll() });
        return { .status = 200, .body = writeLookupResponse(addresses, lookupLifetime) };
    }

    document peerRowsPage(const std::string& target)
    {
        return writePeerRows(target, feed.tablesForPeers());
    }

    document metricsPage(const std::string&)
    {
        metrics.setGauge("busy", listener->activeConnections());
        metrics.setGauge("connections", listener->connections());
        metrics.setGauge("request_body_bytes", static_cast<double>(requestBodies.bytes()));
        metrics.setGauge("buffered_response_bytes", static_cast<double>(bufferedResponses.bytes()));
        metrics.setGauge("fleet_size", static_cast<double>(routing.fleet()->size));
        metrics.setGauge("config_age_seconds", std::chrono::duration<double>(freshness.age(clock.now())).count());
        metrics.setGauge("follows_store", feed.isFollower() ? 1 : 0);
        metrics.setGauge("unavailable_services", static_cast<double>(access.unavailableServices()));
        metrics.setGauge("dropped_log_lines", static_cast<double>(droppedLogLines()));
        metrics.setGauge("busy_slots", static_cast<double>(slots.busy()));
        metrics.setGauge("requests_waiting_for_slots", static_cast<double>(slots.waiting()));
        metrics.setGauge("contended", balancer.isContended() ? 1 : 0);
        metrics.setGauge("timed_servers", static_cast<double>(balancer.timedServers()));
        metrics.setGauge("limited_servers", static_cast<double>(balancer.limitedServers()));
        for (const rollout_summary& rollout : rollouts.summaries())
            metrics.setRollout(rollout.service.value(), rollout.target.value(), rollout.share, { { "requests", rollout.requests }, { "target_requests", rollout.targetRequests }, { "target_responses", rollout.samples }, { "target_failures", rollout.badSamples } });
        const auto routes = routing.routes();
        metrics.setGauge("config_version", routes ? static_cast<double>(routes->version().value()) : 0);
        return { .status = 200, .contentType = "text/plain; version=0.0.4", .body = metrics.text() };
    }

    void refresh()
    {
        connections.prune(clock.now());
        if (options.dispatchesFewSlots && balancer.isContended() && !std::exchange(hasPublishedProcessor, true))
            fleet.publishProcessorShare(options.platform.processorShare);
        const auto previousView = routing.fleet();
        const auto view = fleet.view();
        if (previousView->daemons.size() != view->daemons.size())
            spdlog::info("event=fleet_changed daemons={} size={} isolated={}", view->daemons.size(), view->size, fleet.isIsolated());
        routing.setFleet(view);
        feed.refresh(fleet, view);
        if (const auto servers = routing.servers()) {
            versions.record(*servers, clock.now());
            crashes.applyServerList(servers, feed.serversConfirmedAt());
            if (!feed.areRemovalsDeferred())
                balancer.recordRenewals(*servers, feed.serversConfirmedAt() - renewalsToLapse * options.platform.renewalInterval);
        }
        const std::vector<crash_record> newCrashes = crashes.takeNewRecords();
        crashRows.add(newCrashes, clock.now());
        crashRows.remove(crashes.takeWithdrawnRecords());
        crashRows.change(crashes.takePartTableChanges(), clock.now());
        hints.send({ .loads = balancer.takeLoadUpdates(), .crashes = newCrashes, .promptHolders = balancer.takePromptUpdates(), .promptReports = balancer.takePromptReports(hint_exchange::maxPromptReportsPerRound), .delays = balancer.takeDelayUpdates(), .limits = balancer.takeLimitUpdates(), .parts = crashes.takeNewPartEvidence(), .contacts = access.contacts(), .rolloutNotices = rollouts.notices() }, *view);
        originRecorder.sendOwn(*view, clock.now());
        if (clock.now() - tokensSentAt >= tokenInterval) {
            tokensSentAt = clock.now();
            for (const fleet_daemon& dispatcher : slots.dispatchers())
                hints.sendTo({ .sender = options.platform.daemon, .senderToken = fleet.forwardingToken() }, dispatcher.callerAddress.substr(0, dispatcher.callerAddress.find(':')));
        }
        for (const limit_event& event : balancer.takeLimitEvents())
            logLimitEvent(event);
        const bool isConfigCurrent = routing.routes() && routing.servers() && freshness.age(clock.now()) < freshness.staleAge();
        const table_state tables { .isConfigCurrent = isConfigCurrent, .areServersCurrent = feed.areServersCurrent() };
        const bool ready = readiness.evaluate(tables);
        if (isReady.exchange(ready) != ready) {
            spdlog::info("event=readiness_changed ready={} config_age_ms={} servers_current={}", ready, std::chrono::duration_cast<std::chrono::milliseconds>(freshness.age(clock.now())).count(), tables.areServersCurrent);
            fleet.publishReadiness(ready);
        }
    }

    static void logLimitEvent(const limit_event& event)
    {
        const auto text = [](std::optional<double> limit) { return limit ? fmt::format("{:.3f}", *limit) : std::string { "none" }; };
        const char* source = event.isOwnStatement ? "response" : "peer";
        if (event.skips > 0)
            spdlog::info("event=server_limit_binding server={} limit={} source={} skips={}", event.server.value(), text(event.current), source, event.skips);
        else
            spdlog::info("event=server_limit_changed server={} limit={} previous={} source={}", event.server.value(), text(event.current), text(event.previous), source);
    }

    // Calls to the store may take a second, so a task of its own makes them.
    void coordinateRollouts()
    {
        const auto servers = routing.servers();
        const auto view = routing.fleet();
        if (!servers)
            return;
        // Three daemons receive the evidence of all.
        const auto evidenceInterval = refreshInterval * std::max<int>(1, static_cast<int>(view->size / daemonsPerEvidenceRound));
        const bool sendsEvidence = clock.now() - evidenceSentAt >= evidenceInterval;
        if (sendsEvidence)
            evidenceSentAt = clock.now();
        const auto baseInFlight = [&](const service_id& service, const software_version& target) { return balancer.inFlightAtOtherVersions(*servers, service, target); };
        for (auto& [service, evidence] : rollouts.takeEvidence(baseInFlight)) {
            for (const fleet_daemon* coordinator : rolloutCoordinators(*view, service)) {
                if (sendsEvidence && coordinator->id != view->self)
                    hints.sendTo({ .rolloutEvidence = { evidence } }, coordinator->callerAddress.substr(0, coordinator->callerAddress.find(':')));
            }
        }
        for (const rollout_action& action : rollouts.coordinate(*servers, *view))
            rolloutRows.execute(action);
        for (const rollout_event& event : rollouts.takeEvents())
            spdlog::info("event=rollout service={} target={} order={} change={} detail=\"{}\"", event.service.value(), event.target.value(), event.order, event.what, event.detail);
    }

    // One daemon is enough to remove expired rows of the store.
    bool isFirstFollower() const
    {
        const auto view = routing.fleet();
        const auto followers = storeFollowers(*view);
        return !followers.empty() && followers.front()->id == view->self;
    }

    void announce()
    {
        // A store that came back from a copy may have lost this daemon's row.
        if (std::exchange(announcedEra, feed.storeEra()) != feed.storeEra()) {
            isAnnounced = false;
            lastAnnouncedAt.reset();
        }
        const duration interval = std::max<duration>(minAnnounceInterval, announceIntervalPerDaemon * static_cast<int>(routing.fleet()->size));
        if (stop.isStopping() || (lastAnnouncedAt && clock.now() - *lastAnnouncedAt < interval))
            return;
        lastAnnouncedAt = clock.now();
        valueOr(
            [&]() -> result<bool> {
                if (!isAnnounced)
                    BOOST_LEAF_CHECK(rows.announce());
                isAnnounced = true;
                BOOST_LEAF_AUTO(addresses, rows.readPeerAddresses());
                // Rows of daemons that have ended are never removed, so later reads would keep the size from shrinking.
                if (!std::exchange(hasReadDaemonList, true))
                    fleet.recordListedDaemons(addresses.size() + 1);
                addresses.insert(addresses.end(), options.platform.seedAddresses.begin(), options.platform.seedAddresses.end());
                seedFleet(addresses);
                feed.addDaemons({}, true);
                return true;
            },
            [&](const failure& error) {
                spdlog::warn("event=announce_failed step=\"{}\" peer={} error=\"{}\"", error.step, error.peer, error.detail);
                lastAnnouncedAt.reset();
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
    const time_point now = m_state->clock.now();
    const time_point end = now + m_state->options.platform.stopGrace - stopMargin;
    m_state->stop.requestStop(now, end);
    m_state->fleet.leave();
    m_state->announceTask.reset();
    valueOr([&] { return m_state->rows.withdraw(); },
        [](const failure& error) {
            spdlog::warn("event=withdraw_failed step=\"{}\" peer={} error=\"{}\"", error.step, error.peer, error.detail);
            return false;
        });
    // Callers may connect at any time while they cache this daemon's address, so it serves until the end of the drain.
    std::this_thread::sleep_for(end - m_state->clock.now());
    spdlog::info("event=stop daemon={} cut_requests={}", m_state->options.platform.daemon.value(), m_state->listener->activeConnections());
}

} // namespace radishflow
