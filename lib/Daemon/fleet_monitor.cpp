// Implements the monitoring of the platform, the gossip and the ownership of servers.
#include "radishflow/Daemon/fleet_monitor.h"

#include "radishflow/Support/boottime_clock.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <mutex>
#include <set>
#include <unordered_map>
#include <utility>

namespace radishflow {

static const std::string leavingRecord = "leaving";
static const std::string readyRecord = "ready";
static const std::string configRegister = "config";
static constexpr std::chrono::milliseconds joinTime { 1500 };

fleet_monitor::fleet_monitor(const dependencies& theDependencies)
    : m_dependencies(theDependencies)
    , m_follower(theDependencies.platform, theDependencies.platform, theDependencies.configuration)
    , m_zones(theDependencies.gossip)
{
    seedGossip({});
}

// Runs one poll of the platform. A failure is logged and leaves the current state unchanged.
template <typename Poll>
static void pollAndLogFailure(Poll&& poll)
{
    valueOr(
        [&]() -> result<bool> {
            BOOST_LEAF_AUTO(isNew, poll());
            return isNew;
        },
        [](const failure& error) {
            spdlog::warn("step=\"{}\" peer={} error=\"{}\"", error.step, error.peer, describe(error));
            return false;
        });
}

void fleet_monitor::pollPlatform()
{
    pollHosts();
    pollConfiguration();
    m_ended.probe(m_dependencies.directory.current()->daemons);
    // Gossip propagates zone states within a second. The platform's table only stores them for the time after an
    // outage, so it is reconciled less often.
    constexpr unsigned pollsPerReconciliation = 5;
    if (m_polls++ % pollsPerReconciliation == 0)
        pollZones();
}

void fleet_monitor::pollHosts()
{
    pollAndLogFailure([&]() -> result<bool> {
        BOOST_LEAF_AUTO(listed, m_dependencies.platform.listHosts());
        seedGossip(listed);
        const std::lock_guard lock { m_mutex };
        m_hosts = std::move(listed);
        if (!m_hosts.empty() && m_firstListedAt == time_point {})
            m_firstListedAt = boottime_clock {}.now();
        return true;
    });
}

// The configured seeds let the daemon join while the platform is unreachable; it then fetches the configuration from
// a peer.
void fleet_monitor::seedGossip(const std::vector<listed_host>& listed)
{
    std::vector<seed_peer> seeds;
    std::set<std::string> targets;
    for (const listed_host& host : listed) {
        if (host.role == "daemon" && targets.insert(host.target).second)
            seeds.push_back({ .address = peer_address { host.target }, .isLeaving = host.leaving });
    }
    for (const std::string& address : m_dependencies.options.seeds) {
        if (targets.insert(address).second)
            seeds.push_back({ .address = peer_address { address } });
    }
    m_dependencies.gossip.seed(std::move(seeds));
}

void fleet_monitor::pollConfiguration()
{
    pollAndLogFailure([&]() -> result<bool> {
        BOOST_LEAF_AUTO(isNew, m_follower.poll());
        return isNew;
    });
    fetchConfigurationFromPeers();
    publishVersion();
}

// A higher version in the gossip means that other daemons can reach the platform when this one cannot. Any peer that
// has that version can send the complete configuration.
void fleet_monitor::fetchConfigurationFromPeers()
{
    const config_version own = m_dependencies.configuration.version();
    if (m_dependencies.gossip.registerOf(configRegister).version <= own.value())
        return;
    for (const known_daemon& daemon : m_dependencies.directory.current()->daemons) {
        if (!daemon.isAlive || daemon.id == m_dependencies.options.name)
            continue;
        const bool isAccepted = valueOr(
            [&]() -> result<bool> {
                BOOST_LEAF_AUTO(received, m_dependencies.peers.configuration(daemon.peer, own));
                if (received.version <= own)
                    return false;
                return m_dependencies.configuration.accept({ .version = received.version, .objectKey = received.objectKey }, std::move(received.objects));
            },
            [](const failure& error) {
                spdlog::warn("step=\"{}\" peer={} error=\"{}\"", error.step, error.peer, describe(error));
                return false;
            });
        if (isAccepted)
            return;
    }
}

void fleet_monitor::publishVersion()
{
    const config_version own = m_dependencies.configuration.version();
    if (own.value() > m_dependencies.gossip.registerOf(configRegister).version) {
        spdlog::info("step=\"take configuration\" daemon={} version={}", m_dependencies.options.name.value(), own.value());
        m_dependencies.gossip.setRegister(configRegister, { .version = own.value() });
    }
}

void fleet_monitor::pollZones()
{
    pollAndLogFailure([&]() -> result<bool> {
        BOOST_LEAF_AUTO(outcome, m_zones.reconcile(m_dependencies.platform));
        return outcome.merged + outcome.written > 0;
    });
}

std::vector<listed_host> fleet_monitor::hosts() const
{
    const std::lock_guard lock { m_mutex };
    return m_hosts;
}

// The gossip has the current membership. The platform's list lags behind and only adds which daemons are leaving.
std::vector<known_daemon> fleet_monitor::daemons(const std::vector<listed_host>& listed) const
{
    std::unordered_map<std::string, bool> isListedLeaving;
    for (const listed_host& host : listed) {
        if (host.role == "daemon")
            isListedLeaving[host.target] = host.leaving;
    }
    std::vector<known_daemon> known;
    for (const member& seen : m_dependencies.gossip.members()) {
        const bool isSelf = seen.id == m_dependencies.options.name;
        const auto hint = isListedLeaving.find(seen.peer.value());
        known.push_back({
            .id = seen.id,
            .zone = seen.zone,
            .region = seen.region,
            .peer = seen.peer.value(),
            .http = seen.http,
            .isReady = seen.records.contains(readyRecord),
            .isAlive = isSelf || seen.state == member_state::Alive || seen.state == member_state::Suspect,
            .isLeaving = seen.records.contains(leavingRecord) || (isSelf && m_isLeaving) || (hint != isListedLeaving.end() && hint->second),
        });
    }
    return known;
}

void fleet_monitor::refresh()
{
    const std::vector<listed_host> listed = hosts();
    fleet_snapshot fleet { .daemons = daemons(listed) };
    for (const auto& [key, value] : m_dependencies.gossip.registers()) {
        if (key.starts_with(zoneKeyPrefix) && zoneStateOf(value) == zone_state::Out)
            fleet.zonesOutOfService.insert(zone_id { key.substr(zoneKeyPrefix.size()) });
    }
    std::unordered_map<daemon_id, const known_daemon*> byName;
    for (const known_daemon& daemon : fleet.daemons) {
        if (daemon.isAlive)
            byName[daemon.id] = &daemon;
    }
    for (const listed_host& host : listed) {
        if (host.role != "backend")
            continue;
        known_server server { .id = server_id { host.target }, .service = host.service, .zone = host.zone, .region = host.region, .isLeaving = host.leaving, .isZoneOutOfService = fleet.zonesOutOfService.contains(host.zone) };
        const auto owner = byName.find(m_dependencies.ownership.ownerOf(server.id).value_or(daemon_id {}));
        if (owner != byName.end()) {
            server.owner = owner->first;
            server.ownerPeer = owner->second->peer;
        }
        fleet.servers[server.service].push_back(std::move(server));
    }
    publishReadiness(fleet);
    m_dependencies.directory.replace(std::move(fleet));
}

// A daemon that knows an owner for none of a service's servers would refuse requests that other daemons can serve. It
// therefore reports readiness only once every service has at least one available server with a known owner; the other
// servers of the service may lack one.
void fleet_monitor::publishReadiness(const fleet_snapshot& fleet)
{
    if (m_isReady || m_dependencies.configuration.version() == config_version {} || !hasJoined())
        return;
    const bool hasOwnerForEveryService = std::all_of(fleet.servers.begin(), fleet.servers.end(), [](const auto& service) {
        return std::any_of(service.second.begin(), service.second.end(), [](const known_server& server) { return server.acceptsRequests(); });
    });
    if (!hasOwnerForEveryService)
        return;
    m_isReady = true;
    m_dependencies.gossip.publish(readyRecord, "1");
}

// A daemon that has just started sees only itself and would claim every free server. It therefore sees no servers
// until the gossip has had time to list the other daemons.
bool fleet_monitor::hasJoined() const
{
    const std::lock_guard lock { m_mutex };
    return m_firstListedAt != time_point {} && boottime_clock {}.now() - m_firstListedAt >= joinTime;
}

fleet_view fleet_monitor::view() const
{
    const std::vector<listed_host> listed = hosts();
    fleet_view fleet;
    if (!hasJoined())
        return fleet;
    for (const known_daemon& daemon : daemons(listed))
        fleet.daemons.push_back({ .daemon = daemon.id, .zone = daemon.zone, .region = daemon.region, .isAlive = daemon.isAlive && !daemon.isLeaving, .isRemoved = m_ended.hasEnded(daemon) });
    for (const listed_host& host : listed) {
        if (host.role == "backend")
            fleet.servers.push_back({ .server = server_id { host.target }, .service = host.service, .zone = host.zone, .region = host.region, .isLeaving = host.leaving });
    }
    return fleet;
}

void fleet_monitor::beginLeaving()
{
    m_isLeaving = true;
    m_dependencies.gossip.publish(leavingRecord, "1");
}

} // namespace radishflow
