// Wires the libraries into one daemon.
#include "radishflow/Daemon/radishflow_daemon.h"

#include "radishflow/Backend/backend_client.h"
#include "radishflow/Config/config_store.h"
#include "radishflow/Daemon/daemon_pages.h"
#include "radishflow/Daemon/fleet_directory.h"
#include "radishflow/Daemon/fleet_monitor.h"
#include "radishflow/Daemon/load_reader.h"
#include "radishflow/Daemon/owner_client.h"
#include "radishflow/Daemon/prefix_tracker.h"
#include "radishflow/Daemon/request_router.h"
#include "radishflow/Daemon/request_runner.h"
#include "radishflow/Daemon/server_admission.h"
#include "radishflow/Daemon/shared_ownership.h"
#include "radishflow/Edge/edge_server.h"
#include "radishflow/Gossip/gossip_transport.h"
#include "radishflow/Metrics/daemon_metrics.h"
#include "radishflow/Peer/peer_client.h"
#include "radishflow/Peer/peer_server.h"
#include "radishflow/Platform/platform_client.h"
#include "radishflow/Threads/periodic_task.h"

#include <Poco/Exception.h>
#include <spdlog/spdlog.h>

#include <atomic>
#include <random>
#include <string>
#include <thread>

namespace radishflow {

// Other daemons observe a row for a quarter longer than its holder uses it, which allows for clock drift.
static term_options termOptionsOf(const daemon_options& options)
{
    return {
        .termLength = options.termLength,
        .renewInterval = options.termLength / 3,
        .observeLength = options.termLength * 5 / 4,
        .pollInterval = std::min<duration>(options.pollInterval, std::chrono::seconds { 1 }),
        .maxRequestDuration = options.maxRequestDuration,
    };
}

// Incarnations are wall-clock times in milliseconds, because a daemon has no disk to store its last incarnation.
static incarnation_number incarnationNow()
{
    const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch());
    return incarnation_number { static_cast<std::uint64_t>(now.count()) };
}

static std::uint64_t randomNumber()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

static std::string randomSecret()
{
    std::string secret;
    for (int part = 0; part < 4; ++part)
        secret += std::to_string(randomNumber()) + '.';
    return secret;
}

// Members are declared in the order of their dependencies: a later member uses earlier ones and is destroyed before
// them.
struct radishflow_daemon::state {
    daemon_options options;
    std::atomic<bool> isComplete = false; ///< Callers and peers may connect during construction.
    incarnation_number processIncarnation = incarnationNow();
    platform_client platform { platform_options { .address = options.platform } };
    config_store configuration;
    fleet_directory directory;
    shared_ownership ownership { platform, options.name, termOptionsOf(options), randomNumber() };
    crash_quarantine crashes;
    prefix_tracker prefixes { { .eventLag = options.reportLag + std::chrono::seconds { 1 } } };
    server_admission admission { { options, configuration, directory, ownership, crashes, prefixes } };
    backend_client backends { backend_client_options {} };
    crash_confirmation confirmation { backends };
    request_runner runner { admission, backends, prefixes, options.requestLimit };
    peer_server peerInterface;
    std::string peerAddress;
    peer_client peers { peer_client_options {} };
    owner_client ownerClient;
    shared_retry_budget retries;
    daemon_metrics metrics;
    std::unique_ptr<edge_server> edge;
    std::unique_ptr<gossip_transport> gossip;
    order_runner orders;
    request_router router { configuration, directory, ownerClient, retries, orders, options };
    fleet_monitor fleetMonitor;
    daemon_pages pages;
    load_reader loads { backends, ownership, admission, confirmation, prefixes, options.reportLag };
    periodic_task platformTask;
    periodic_task ownershipTask;
    periodic_task refreshTask;
    periodic_task recordTask;
    periodic_task loadTask;

    explicit state(const daemon_options& theOptions)
        : options(theOptions)
        , peerInterface({ .host = options.address, .port = options.peerPort }, handlersForPeers())
        , peerAddress(options.address + ':' + std::to_string(peerInterface.port()))
        , ownerClient(runner, peers, peerAddress)
        , edge(std::make_unique<edge_server>(edge_options { .host = options.address, .port = options.httpPort, .connectionLimit = options.callerLimit, .bodyLimitBytes = options.bodyLimitBytes }, handlersForCallers()))
        , gossip(startGossip())
        , orders({ .daemon = options.name, .process = processIncarnation, .secret = randomSecret() }, platform, *gossip, ownerClient, retries)
        , fleetMonitor({ options, platform, *gossip, peers, ownership, directory, configuration })
        , pages({ options, configuration, directory, admission, runner, ownership, *gossip, fleetMonitor, orders, ownHttp() })
        , platformTask(options.pollInterval, [this] { fleetMonitor.pollPlatform(); })
        , ownershipTask(std::min(options.pollInterval, std::chrono::milliseconds { 500 }), [this] { ownership.step(fleetMonitor.view()); })
        , refreshTask(std::chrono::milliseconds { 250 }, [this] {
            fleetMonitor.refresh();
            runner.sweep();
        })
        , recordTask(std::chrono::milliseconds { 1000 }, [this] { orders.recordPending(); })
        , loadTask(std::chrono::milliseconds { 500 }, [this] {
            loads.readAll();
            exchangeLoads();
        })
    {
        admission.setCrashReporter(crashReporter());
        isComplete = true;
    }

    // The edge server's workers use all other members, so they stop first.
    ~state() { edge.reset(); }

    drain_outcome remaining() const
    {
        return { .calls = edge->callsInProgress(), .answers = runner.undelivered(), .areServersReleased = ownership.isStopped() };
    }

    std::string ownHttp() const { return options.address + ':' + std::to_string(edge->port()); }

    std::unique_ptr<gossip_transport> startGossip() const
    {
        gossip_transport_options gossipOptions {
            .membership = {
                .id = options.name,
                .incarnation = processIncarnation,
                .address = peer_address { peerAddress },
                .http = ownHttp(),
                .zone = options.zone,
                .region = options.region,
            },
            .randomSeed = randomNumber(),
        };
        return valueOr(
            [&] { return gossip_transport::start(gossipOptions); },
            [](const failure& error) -> std::unique_ptr<gossip_transport> { throw Poco::RuntimeException { describe(error) }; });
    }

    peer_handlers handlersForPeers()
    {
        return {
            .submit = [this](const request_submission& submission) { return runner.submit(submission); },
            .read = [this](const std::string& streamId, std::uint64_t offset, std::chrono::milliseconds wait, std::size_t maxBytes) { return runner.read(streamId, offset, wait, maxBytes); },
            .cancel = [this](const std::string& streamId) { runner.cancel(streamId); },
            .learnCrashes = [this](const std::vector<crash_record>& records) { crashes.merge(records); },
            .configuration = [this](config_version above) { return ownConfiguration(above); },
        };
    }

    crash_reporter crashReporter()
    {
        return {
            .startTime = [this](const server_id& server) { return confirmation.startTime(server); },
            .hasCrashed = [this](const server_id& server, double startTime) { return confirmation.hasCrashed(server, startTime); },
            .publish = [this](const std::vector<crash_record>& records) { publishCrashes(records); },
        };
    }

    // Crashes are rare and a caller may resend its request at once, so the record is sent to every daemon directly;
    // gossip would take seconds.
    void publishCrashes(const std::vector<crash_record>& records)
    {
        for (const known_daemon& daemon : directory.current()->daemons) {
            if (!daemon.isAlive || daemon.id == options.name)
                continue;
            valueOr(
                [&]() -> result<bool> {
                    BOOST_LEAF_CHECK(peers.learnCrashes(daemon.peer, records));
                    return true;
                },
                [](const failure& error) {
                    spdlog::warn("step=\"{}\" peer={} error=\"{}\"", error.step, error.peer, describe(error));
                    return false;
                });
        }
    }

    peer_configuration ownConfiguration(config_version above) const
    {
        const auto inForce = configuration.current();
        if (!inForce || inForce->pointer.version <= above)
            return {};
        return { .version = inForce->pointer.version, .objectKey = inForce->pointer.objectKey, .objects = inForce->objects };
    }

    void exchangeLoads()
    {
        std::vector<service_load> own;
        for (const service_load_sum& sum : admission.ownLoads())
            own.push_back({ .service = loadKeyOf(sum.service), .running = static_cast<std::uint32_t>(sum.running), .servers = static_cast<std::uint32_t>(sum.servers) });
        gossip->setLoads(own);
        std::unordered_map<service_id, fleet_load> fleetLoads;
        const std::optional<load_sums> sums = gossip->fleetLoads();
        for (const auto& [service, servers] : directory.current()->servers) {
            for (const service_load& load : sums ? sums->loads : std::vector<service_load> {}) {
                if (load.service == loadKeyOf(service))
                    fleetLoads[service] = { .running = static_cast<int>(load.running), .servers = static_cast<int>(load.servers), .measuredAt = sums->measuredAt };
            }
        }
        admission.setFleetLoads(fleetLoads);
    }

    // The interface listens before the pages are constructed, because the gossip publishes its port.
    edge_handlers handlersForCallers()
    {
        return {
            .call = [this](const caller_request& request) { return metrics.observe(labelOf(request), [&] { return isComplete ? router.route(request) : refuseWhileStarting(request); }); },
            .answer = [this](const document_request& request) {
                if (isComplete && request.path == "/metrics")
                    return document { .contentType = "text/plain; version=0.0.4", .body = metrics.text(readMetrics()) };
                return isComplete ? pages.answer(request) : document { .status = 503, .contentType = "text/plain", .body = "starting\n" }; },
        };
    }

    // Label values are names from the configuration or one of two fixed words, so that callers cannot create new
    // ones.
    std::string labelOf(const caller_request& request) const
    {
        if (request.isModelCall)
            return "model";
        const auto inForce = configuration.current();
        return inForce && findService(inForce->config, request.service) ? request.service.value() : "other";
    }

    metrics_reading readMetrics() const
    {
        metrics_reading reading { .connections = edge->connections(), .configVersion = configuration.version().value(), .control = gossip->traffic() };
        for (const auto& [server, serverState] : admission.view())
            reading.servers.push_back({ .server = server, .running = serverState.reserved, .limit = serverState.limit });
        return reading;
    }

    static caller_answer refuseWhileStarting(const caller_request& request)
    {
        return { .refused = refusal { .title = "Starting", .detail = "the daemon is not ready yet", .retryAfter = std::chrono::milliseconds { 1000 } }, .request = request.request };
    }
};

radishflow_daemon::radishflow_daemon(const daemon_options& options)
    : m_state(std::make_unique<state>(options))
{
}

radishflow_daemon::~radishflow_daemon() = default;

// Callers cache addresses for the announced time, so the daemon continues to serve at least that long after it has
// left the address list. Meanwhile its servers move to their next owners.
drain_outcome radishflow_daemon::drain(const std::function<bool()>& isHurried)
{
    constexpr std::chrono::milliseconds step { 50 };
    constexpr std::chrono::milliseconds propagationTime { 1000 };
    constexpr std::chrono::seconds releaseTime { 5 };
    const auto started = std::chrono::steady_clock::now();
    const auto keptUntil = started + m_state->options.addressKeep + propagationTime;
    const auto limit = started + m_state->options.drainLimit;
    m_state->fleetMonitor.beginLeaving();
    m_state->edge->beginLeaving();
    m_state->ownership.beginStop();
    drain_outcome outcome = m_state->remaining();
    while (!isHurried() && std::chrono::steady_clock::now() < limit) {
        const auto now = std::chrono::steady_clock::now();
        // Servers cannot be released while the table is unreachable; their next owners wait until the term ends
        // instead.
        const bool isReleaseOver = outcome.areServersReleased || now > keptUntil + releaseTime;
        if (now > keptUntil && outcome.isClean() && isReleaseOver)
            break;
        std::this_thread::sleep_for(step);
        outcome = m_state->remaining();
    }
    m_state->gossip->leave();
    std::this_thread::sleep_for(step);
    return outcome;
}

std::uint16_t radishflow_daemon::httpPort() const
{
    return m_state->edge->port();
}

std::uint16_t radishflow_daemon::peerPort() const
{
    return m_state->peerInterface.port();
}

} // namespace radishflow
