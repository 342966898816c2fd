// Implements the fleet's membership on the gossip.
#include "radishflow/Fleet/fleet_membership.h"

#include <Poco/Exception.h>

#include <algorithm>
#include <charconv>
#include <chrono>
#include <random>

namespace radishflow {

// Time for which a record that this daemon takes callers waits between two versions, for each member of the fleet.
static constexpr std::chrono::milliseconds recordInterval { 100 };
static const std::string readinessKey = "callers";
static const std::string takesCallersValue = "yes";
static const std::string newsPrefix = "news/";

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
            .recordIntervalPerMember = recordInterval,
        },
        .randomSeed = (static_cast<std::uint64_t>(random()) << 32U) | random(),
    };
}

fleet_membership::fleet_membership(const fleet_options& options)
    : m_options(options)
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

void fleet_membership::setTakesCallers(bool acceptsCallers)
{
    m_gossip->publish(readinessKey, acceptsCallers ? takesCallersValue : "no");
}

void fleet_membership::leave()
{
    m_gossip->leave();
}

std::shared_ptr<const fleet_view> fleet_membership::view()
{
    auto made = std::make_shared<fleet_view>();
    made->self = m_options.daemon;
    for (const member& each : m_gossip->members()) {
        if (each.state == member_state::Dead || each.state == member_state::Left)
            continue;
        const auto record = each.records.find(readinessKey);
        made->daemons.push_back({
            .id = each.id,
            .zone = each.zone,
            .callerAddress = each.http,
            .acceptsCallers = record != each.records.end() && record->second.bytes == takesCallersValue,
        });
    }
    made->size = sizeFor(made->daemons.size(), boottime_clock {}.now());
    return made;
}

void fleet_membership::spreadNews(const std::string& table, const table_news& news)
{
    m_gossip->setRegister(newsPrefix + table, { .version = static_cast<std::uint64_t>(news.storeTime.count()), .bytes = news.text() });
}

table_news fleet_membership::newsOf(const std::string& table) const
{
    const fleet_register known = m_gossip->registerOf(newsPrefix + table);
    table_news news { .storeTime = std::chrono::milliseconds { known.version } };
    std::from_chars(known.bytes.data(), known.bytes.data() + known.bytes.size(), news.newestChange);
    return news;
}

std::size_t fleet_membership::sizeFor(std::size_t alive, time_point now)
{
    if (alive >= m_largest || now - m_largestAt > m_options.sizeMemory) {
        m_largest = std::max<std::size_t>(alive, 1);
        m_largestAt = now;
    }
    return m_largest;
}

} // namespace radishflow
