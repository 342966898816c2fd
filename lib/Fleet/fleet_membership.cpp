// Implements fleet_membership on the gossip protocol.
#include "radishflow/Fleet/fleet_membership.h"

#include <Poco/Exception.h>
#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <charconv>
#include <chrono>
#include <cmath>
#include <random>
#include <string_view>

namespace radishflow {

// Minimum time between two versions of the readiness record, multiplied by the number of members.
static constexpr std::chrono::milliseconds recordIntervalPerMember { 100 };
// The fleet keeps the greatest version of a register. It holds the era above the store's time in milliseconds, because
// progress within a new era replaces that of an old one.
static constexpr int storeTimeBits = 44;
static const std::string readinessKey = "callers";
static const std::string takesCallersValue = "yes";
// The value is a word for the access to backend servers and the token of the daemon.
static const std::string forwardingKey = "forwarding";
static constexpr std::string_view reachesServersWord = "direct";
static constexpr std::string_view lostServersWord = "lost";
static const std::string processorKey = "processor";
static const std::string tableUpdatePrefix = "news/";

static gossip_transport_options transportOptions(const fleet_options& options)
{
    std::random_device random;
    const auto started = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch());
    return {
        .membership = {
            .id = options.daemon,
            .incarnation = incarnation_number { static_cast<std::uint64_t>(started.count()) },
            .address = peer_address { options.peerAddress },
            .http = options.callerAddress,
            .zone = options.zone,
            .region = options.region,
            .recordIntervalPerMember = recordIntervalPerMember,
        },
        .randomSeed = (static_cast<std::uint64_t>(random()) << 32U) | random(),
    };
}

static std::string newToken()
{
    std::random_device random;
    return fmt::format("{:08x}{:08x}{:08x}", random(), random(), random());
}

fleet_membership::fleet_membership(const fleet_options& options)
    : m_options(options)
    , m_forwardingToken(newToken())
    , m_gossip(valueOr([&] { return gossip_transport::start(transportOptions(options)); },
          [](const failure& error) -> std::unique_ptr<gossip_transport> { throw Poco::RuntimeException { describe(error) }; }))
{
}

void fleet_membership::seed(const std::vector<std::string>& peers)
{
    std::vector<seed_peer> seeds;
    seeds.reserve(peers.size());
    for (const std::string& peer : peers)
        seeds.push_back({ .address = peer_address { peer } });
    m_gossip->seed(std::move(seeds));
}

void fleet_membership::publishReadiness(bool acceptsCallers)
{
    m_gossip->publish(readinessKey, acceptsCallers ? takesCallersValue : "no");
}

void fleet_membership::publishServerAccess(bool reachesServers)
{
    m_gossip->publish(forwardingKey, fmt::format("{} {}", reachesServers ? reachesServersWord : lostServersWord, m_forwardingToken));
}

void fleet_membership::publishProcessorShare(double cores)
{
    m_gossip->publish(processorKey, fmt::format("{:.3f}", cores));
}

// A value that cannot be read counts as none.
static double parseCores(const member& daemon)
{
    const auto record = daemon.records.find(processorKey);
    double cores = 0;
    if (record != daemon.records.end()) {
        const std::string& text = record->second.bytes;
        if (std::from_chars(text.data(), text.data() + text.size(), cores).ec != std::errc {})
            return 0;
    }
    return std::isfinite(cores) ? std::max(cores, 0.0) : 0;
}

void fleet_membership::leave()
{
    m_gossip->leave();
}

std::shared_ptr<const fleet_view> fleet_membership::view()
{
    auto snapshot = std::make_shared<fleet_view>();
    snapshot->self = m_options.daemon;
    for (const member& daemon : m_gossip->members()) {
        if (daemon.state == member_state::Dead || daemon.state == member_state::Left || !daemon.isResponsive)
            continue;
        const auto record = daemon.records.find(readinessKey);
        const auto forwarding = daemon.records.find(forwardingKey);
        const std::string forwardingValue = forwarding == daemon.records.end() ? std::string {} : forwarding->second.bytes;
        const auto separator = std::min(forwardingValue.find(' '), forwardingValue.size());
        snapshot->daemons.push_back({
            .id = daemon.id,
            .zone = daemon.zone,
            .callerAddress = daemon.http,
            .forwardingToken = separator < forwardingValue.size() ? forwardingValue.substr(separator + 1) : std::string {},
            .processorShare = parseCores(daemon),
            .reachesServers = forwardingValue.substr(0, separator) != lostServersWord,
            .acceptsCallers = record != daemon.records.end() && record->second.bytes == takesCallersValue,
        });
    }
    const std::size_t listed = m_listedDaemons.exchange(0);
    m_isSizeKnown = m_isSizeKnown || listed > 0;
    snapshot->isSizeKnown = m_isSizeKnown;
    snapshot->size = sizeFor(std::max(snapshot->daemons.size(), listed), boottime_clock {}.now());
    return snapshot;
}

void fleet_membership::recordListedDaemons(std::size_t count)
{
    m_listedDaemons = count;
}

void fleet_membership::publishTableUpdate(const std::string& table, const table_update& update)
{
    m_gossip->setRegister(tableUpdatePrefix + table, { .version = (update.era << storeTimeBits) | static_cast<std::uint64_t>(update.storeTime.count()), .bytes = update.encode() });
}

table_update fleet_membership::tableUpdateOf(const std::string& table) const
{
    const fleet_register current = m_gossip->registerOf(tableUpdatePrefix + table);
    return table_update::decode(current.bytes, std::chrono::milliseconds { current.version & ((1ULL << storeTimeBits) - 1) }, current.version >> storeTimeBits);
}

std::size_t fleet_membership::sizeFor(std::size_t aliveCount, time_point now)
{
    if (aliveCount >= m_largestSize || now - m_largestSizeAt > m_options.sizeRetention) {
        m_largestSize = std::max<std::size_t>(aliveCount, 1);
        m_largestSizeAt = now;
    }
    return m_largestSize;
}

} // namespace radishflow
