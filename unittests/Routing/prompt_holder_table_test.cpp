// Tests the recorded prompt holders, and how many prompts servers have to process again when servers join or leave.
#include "radishflow/Routing/load_balancer.h"
#include "radishflow/Routing/prompt_holder_table.h"
#include "radishflow/Support/manual_clock.h"

#include "test_servers.h"

#include <boost/test/unit_test.hpp>

#include <deque>
#include <set>

using namespace radishflow;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(PromptHolderTable)

BOOST_AUTO_TEST_CASE(holdersAreRecordedUntilTheLifetimeEnds)
{
    manual_clock clock;
    prompt_holder_table table;
    table.recordPrimary({ .prompt = 1, .server = 10 }, clock.now());
    table.recordSecondary({ .prompt = 1, .server = 11 });
    table.recordSecondary({ .prompt = 1, .server = 10 });
    BOOST_TEST((table.find(1, clock.now()) == boost::container::static_vector<std::uint32_t, 2> { 10, 11 }));
    table.recordPrimary({ .prompt = 1, .server = 12 }, clock.now());
    BOOST_TEST((table.find(1, clock.now()) == boost::container::static_vector<std::uint32_t, 2> { 12, 10 }));
    BOOST_TEST(table.find(2, clock.now()).empty());
    clock.advance(21s);
    BOOST_TEST(table.find(1, clock.now()).empty());
}

BOOST_AUTO_TEST_CASE(updateIsQueuedOncePerPublishInterval)
{
    manual_clock clock;
    prompt_holder_table table;
    table.recordPrimary({ .prompt = 1, .server = 10 }, clock.now());
    for (int request = 0; request < 5; ++request)
        table.queueUpdate(1, clock.now());
    BOOST_TEST(table.takeUpdates().size() == 1U);
    clock.advance(1s);
    table.queueUpdate(1, clock.now());
    BOOST_TEST(table.takeUpdates().size() == 1U);
    table.queueUpdate(2, clock.now());
    BOOST_TEST(table.takeUpdates().empty());
}

BOOST_AUTO_TEST_CASE(daemonsAgreeOnThePrimaryHolder)
{
    manual_clock clock;
    prompt_holder_table one;
    prompt_holder_table two;
    const auto isLess = [](std::uint32_t theirs, std::uint32_t ours) { return theirs < ours; };
    one.recordPrimary({ .prompt = 1, .server = 10 }, clock.now());
    two.recordPrimary({ .prompt = 1, .server = 20 }, clock.now());
    one.merge({ .prompt = 1, .server = 20 }, clock.now(), isLess);
    two.merge({ .prompt = 1, .server = 10 }, clock.now(), isLess);
    BOOST_TEST(one.find(1, clock.now()).front() == 10U);
    BOOST_TEST(two.find(1, clock.now()).front() == 10U);
}

BOOST_AUTO_TEST_CASE(tableKeepsAtMostTheMaximumNumberOfPrompts)
{
    manual_clock clock;
    prompt_holder_table table { { .maxPrompts = 100 } };
    for (std::uint32_t prompt = 0; prompt < 1000; ++prompt)
        table.recordPrimary({ .prompt = prompt, .server = 1 }, clock.now());
    BOOST_TEST(table.size() == 100U);
    clock.advance(30s);
    table.recordPrimary({ .prompt = 2000, .server = 1 }, clock.now());
    BOOST_TEST(table.size() == 1U);
}

namespace {

/// Simulates daemons that take turns in sending requests with recurring prompts, and servers that cache every prompt that
/// they have processed.
class prompt_traffic {
public:
    prompt_traffic()
    {
        for (int daemon = 0; daemon < daemons; ++daemon) {
            m_balancers.emplace_back(m_clock);
            m_fleets.push_back(testFleet(daemons, daemon));
        }
        setServers(testServers(8));
    }

    void setServers(const server_list& list)
    {
        m_list = list;
        for (auto& balancer : m_balancers)
            balancer.retain(m_list);
    }

    const server_list& servers() const { return m_list; }

    /// Runs rounds of requests, one per prompt, and returns how often a server had to process a prompt that it did not hold.
    int runRounds(int rounds)
    {
        int processed = 0;
        for (int round = 0; round < rounds; ++round) {
            for (std::uint64_t prompt = 1; prompt <= prompts; ++prompt)
                processed += sendRequest(prompt * 0x9e3779b97f4a7c15U) ? 1 : 0;
            exchangeUpdates();
            m_clock.advance(250ms);
        }
        return processed;
    }

    static constexpr int daemons = 4;
    static constexpr int prompts = 60;

private:
    bool sendRequest(std::uint64_t prompt)
    {
        const auto daemon = static_cast<std::size_t>(m_requests++ % (daemons + 1)) % daemons;
        const auto chosen = m_balancers[daemon].startRequest(m_list, { .service = service_id { "model" }, .affinity = prompt, .zone = zone_id { "za" }, .fleet = &m_fleets[daemon] });
        BOOST_REQUIRE(chosen.has_value());
        m_balancers[daemon].finishRequest(chosen->server.id, server_outcome::Served);
        return m_held.emplace(chosen->server.id, prompt).second;
    }

    void exchangeUpdates()
    {
        for (auto& from : m_balancers) {
            const auto updates = from.takePromptUpdates();
            for (auto& to : m_balancers) {
                if (&to != &from)
                    to.mergePromptUpdates(updates);
            }
        }
    }

    manual_clock m_clock;
    server_list m_list;
    std::deque<load_balancer<manual_clock>> m_balancers;
    std::vector<fleet_view> m_fleets;
    std::set<std::pair<server_id, std::uint64_t>> m_held;
    int m_requests = 0;
};

} // namespace

// Guards against joining servers taking over prompts that other servers hold. By rank alone, four servers that join eight
// would process a third of the prompts again, and the next four a quarter.
BOOST_AUTO_TEST_CASE(joiningServersProcessNoPromptsThatOthersHold)
{
    prompt_traffic traffic;
    BOOST_TEST(traffic.runRounds(4) == prompt_traffic::prompts);
    for (const int count : { 12, 16 }) {
        traffic.setServers(testServers(count));
        BOOST_TEST(traffic.runRounds(4) == 0);
    }
}

// Guards against daemons that send the prompts of leaving servers to different servers, which would process them more than
// once. Other servers join at the same time.
BOOST_AUTO_TEST_CASE(promptsOfLeavingServersAreProcessedOnce)
{
    prompt_traffic traffic;
    traffic.runRounds(4);
    server_list list = testServers(12);
    for (int server = 0; server < 4; ++server)
        list.servers.at(testServer(server).id).isDraining = true;
    traffic.setServers(list);
    const int processed = traffic.runRounds(8);
    BOOST_TEST(processed > 10);
    BOOST_TEST(processed < prompt_traffic::prompts * 3 / 4);
    BOOST_TEST(traffic.runRounds(4) == 0);
}

BOOST_AUTO_TEST_SUITE_END()
