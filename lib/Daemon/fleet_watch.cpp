// Implements the watch over the fleet.
#include "radishflow/Daemon/fleet_watch.h"

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

fleet_watch::fleet_watch(const parts& theParts)
    : m_parts(theParts)
    , m_follower(theParts.platform, theParts.platform, theParts.configuration)
    , m_zones(theParts.gossip)
{
    seedGossip({});
}

// Runs one look at the platform; a failure is logged and leaves what was known.
template <typename Look>
static void tryLook(Look&& look)
{
    valueOr(
        [&]() -> result<bool> {
            BOOST_LEAF_AUTO(isNew, look());
            return isNew;
        },
        [](const failure& error) {
            spdlog::warn("step=\"{}\" peer={} error=\"{}\"", error.step, error.peer, describe(error));
            return false;
        });
}

void fleet_watch::pollPlatform()
{
    pollHosts();
    pollConfiguration();
    m_ended.probe(m_parts.directory.current()->daemons);
    // The gossip carries zones within a second; the table only has to hold them for the day after an outage.
    constexpr unsigned pollsPerReconciliation = 5;
    if (m_polls++ % pollsPerReconciliation == 0)
        pollZones();
}

void fleet_watch::pollHosts()
{
    tryLook([&]() -> result<bool> {
        BOOST_LEAF_AUTO(listed, m_parts.platform.listHosts());
        seedGossip(listed);
        const std::lock_guard lock { m_mutex };
        m_hosts = std::move(listed);
        if (!m_hosts.empty() && m_firstListed == time_point {})
            m_firstListed = boottime_clock {}.now();
        return true;
    });
}

// The daemon's own seeds let it join while the platform is dark; the fleet's configuration then comes from a peer.
void fleet_watch::seedGossip(const std::vector<listed_host>& listed)
{
    std::vector<seed_peer> seeds;
    std::set<std::string> targets;
    for (const listed_host& host : listed) {
        if (host.role == "daemon" && targets.insert(host.target).second)
            seeds.push_back({ .address = peer_address { host.target }, .isLeaving = host.leaving });
    }
    for (const std::string& address : m_parts.options.seeds) {
        if (targets.insert(address).second)
            seeds.push_back({ .address = peer_address { address } });
    }
    m_parts.gossip.seed(std::move(seeds));
}

void fleet_watch::pollConfiguration()
{
    tryLook([&]() -> result<bool> {
        BOOST_LEAF_AUTO(isNew, m_follower.poll());
        return isNew;
    });
    askPeers();
    announceVersion();
}

// The gossip tells of a higher version when the platform is dark for this daemon but not for all; any peer that
// has it gives it whole.
void fleet_watch::askPeers()
{
    const config_version own = m_parts.configuration.version();
    if (m_parts.gossip.registerOf(configRegister).version <= own.value())
        return;
    for (const known_daemon& daemon : m_parts.directory.current()->daemons) {
        if (!daemon.isAlive || daemon.id == m_parts.options.name)
            continue;
        const bool isTaken = valueOr(
            [&]() -> result<bool> {
                BOOST_LEAF_AUTO(given, m_parts.peers.configuration(daemon.peer, own));
                if (given.version <= own)
                    return false;
                return m_parts.configuration.accept({ .version = given.version, .objectKey = given.objectKey }, std::move(given.objects));
            },
            [](const failure& error) {
                spdlog::warn("step=\"{}\" peer={} error=\"{}\"", error.step, error.peer, describe(error));
                return false;
            });
        if (isTaken)
            return;
    }
}

void fleet_watch::announceVersion()
{
    const config_version own = m_parts.configuration.version();
    if (own.value() > m_parts.gossip.registerOf(configRegister).version) {
        spdlog::info("step=\"take configuration\" daemon={} version={}", m_parts.options.name.value(), own.value());
        m_parts.gossip.setRegister(configRegister, { .version = own.value() });
    }
}

void fleet_watch::pollZones()
{
    tryLook([&]() -> result<bool> {
        BOOST_LEAF_AUTO(outcome, m_zones.reconcile(m_parts.platform));
        return outcome.merged + outcome.written > 0;
    });
}

std::vector<listed_host> fleet_watch::hosts() const
{
    const std::lock_guard lock { m_mutex };
    return m_hosts;
}

// The gossip says who is there now; the platform's list lags and only hints who leaves.
std::vector<known_daemon> fleet_watch::daemons(const std::vector<listed_host>& listed) const
{
    std::unordered_map<std::string, bool> isListedLeaving;
    for (const listed_host& host : listed) {
        if (host.role == "daemon")
            isListedLeaving[host.target] = host.leaving;
    }
    std::vector<known_daemon> known;
    for (const member& seen : m_parts.gossip.members()) {
        const bool isSelf = seen.id == m_parts.options.name;
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

void fleet_watch::refresh()
{
    const std::vector<listed_host> listed = hosts();
    fleet_snapshot fleet { .daemons = daemons(listed) };
    for (const auto& [key, value] : m_parts.gossip.registers()) {
        if (key.starts_with(zoneKeyPrefix) && zoneStateOf(value) == zone_state::Out)
            fleet.zonesOut.insert(zone_id { key.substr(zoneKeyPrefix.size()) });
    }
    std::unordered_map<daemon_id, const known_daemon*> byName;
    for (const known_daemon& daemon : fleet.daemons) {
        if (daemon.isAlive)
            byName[daemon.id] = &daemon;
    }
    for (const listed_host& host : listed) {
        if (host.role != "backend")
            continue;
        known_server server { .id = server_id { host.target }, .service = host.service, .zone = host.zone, .region = host.region, .isLeaving = host.leaving, .isZoneOut = fleet.zonesOut.contains(host.zone) };
        const auto owner = byName.find(m_parts.ownership.ownerOf(server.id).value_or(daemon_id {}));
        if (owner != byName.end()) {
            server.owner = owner->first;
            server.ownerPeer = owner->second->peer;
        }
        fleet.servers[server.service].push_back(std::move(server));
    }
    announceReadiness(fleet);
    m_parts.directory.replace(std::move(fleet));
}

// Callers that are sent to a daemon before it knows any server's owner would be refused what others can serve.
void fleet_watch::announceReadiness(const fleet_snapshot& fleet)
{
    if (m_isReady || m_parts.configuration.version() == config_version {} || !hasJoined())
        return;
    const bool knowsAllOwners = std::all_of(fleet.servers.begin(), fleet.servers.end(), [](const auto& service) {
        return std::any_of(service.second.begin(), service.second.end(), [](const known_server& server) { return server.takesNewWork(); });
    });
    if (!knowsAllOwners)
        return;
    m_isReady = true;
    m_parts.gossip.publish(readyRecord, "1");
}

// A daemon that has just started knows only itself and would claim every server that is free; servers come
// into its view once the gossip had time to show the others.
bool fleet_watch::hasJoined() const
{
    const std::lock_guard lock { m_mutex };
    return m_firstListed != time_point {} && boottime_clock {}.now() - m_firstListed >= joinTime;
}

fleet_view fleet_watch::view() const
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

void fleet_watch::beginLeaving()
{
    m_isLeaving = true;
    m_parts.gossip.publish(leavingRecord, "1");
}

} // namespace radishflow
