// Tests where prompts are sent while servers come and go, by the prompts that servers have to read.
#include "radishflow/Routing/load_balancer.h"
#include "radishflow/Routing/prompt_holder_table.h"
#include "radishflow/Support/manual_clock.h"

#include "test_servers.h"

#include <boost/test/unit_test.hpp>

#include <deque>
#include <set>

using namespace radishflow;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(PromptHomes)

BOOST_AUTO_TEST_CASE(homeStaysAndIsForgottenInTime)
{
    manual_clock clock;
    prompt_holder_table homes;
    homes.use({ .prompt = 1, .server = 10 }, clock.now());
    homes.useBesides({ .prompt = 1, .server = 11 });
    homes.useBesides({ .prompt = 1, .server = 10 });
    BOOST_TEST((homes.find(1, clock.now()) == boost::container::static_vector<std::uint32_t, 2> { 10, 11 }));
    homes.use({ .prompt = 1, .server = 12 }, clock.now());
    BOOST_TEST((homes.find(1, clock.now()) == boost::container::static_vector<std::uint32_t, 2> { 12, 10 }));
    BOOST_TEST(homes.find(2, clock.now()).empty());
    clock.advance(21s);
    BOOST_TEST(homes.find(1, clock.now()).empty());
}

BOOST_AUTO_TEST_CASE(othersAreToldOnceInAWhile)
{
    manual_clock clock;
    prompt_holder_table homes;
    homes.use({ .prompt = 1, .server = 10 }, clock.now());
    for (int request = 0; request < 5; ++request)
        homes.tell(1, clock.now());
    BOOST_TEST(homes.takeNews().size() == 1U);
    clock.advance(1s);
    homes.tell(1, clock.now());
    BOOST_TEST(homes.takeNews().size() == 1U);
    homes.tell(2, clock.now());
    BOOST_TEST(homes.takeNews().empty());
}

BOOST_AUTO_TEST_CASE(daemonsSettleOnOneHome)
{
    manual_clock clock;
    prompt_holder_table one;
    prompt_holder_table two;
    const auto isLess = [](std::uint32_t theirs, std::uint32_t ours) { return theirs < ours; };
    one.use({ .prompt = 1, .server = 10 }, clock.now());
    two.use({ .prompt = 1, .server = 20 }, clock.now());
    one.merge({ .prompt = 1, .server = 20 }, clock.now(), isLess);
    two.merge({ .prompt = 1, .server = 10 }, clock.now(), isLess);
    BOOST_TEST(one.find(1, clock.now()).front() == 10U);
    BOOST_TEST(two.find(1, clock.now()).front() == 10U);
}

BOOST_AUTO_TEST_CASE(memoryIsBounded)
{
    manual_clock clock;
    prompt_holder_table homes { { .mostPrompts = 100 } };
    for (std::uint32_t prompt = 0; prompt < 1000; ++prompt)
        homes.use({ .prompt = prompt, .server = 1 }, clock.now());
    BOOST_TEST(homes.size() == 100U);
    clock.advance(30s);
    homes.use({ .prompt = 2000, .server = 1 }, clock.now());
    BOOST_TEST(homes.size() == 1U);
}

namespace {

/// Daemons that get the requests of some prompts in turn, and servers that keep every prompt that they have read.
class prompt_load {
public:
    prompt_load()
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

    /// Plays some rounds and returns how many prompts were read by a server that didn't hold them.
    int play(int rounds)
    {
        int reads = 0;
        for (int round = 0; round < rounds; ++round) {
            for (std::uint64_t prompt = 1; prompt <= prompts; ++prompt)
                reads += request(prompt * 0x9e3779b97f4a7c15U) ? 1 : 0;
            exchange();
            m_clock.advance(250ms);
        }
        return reads;
    }

    static constexpr int daemons = 4;
    static constexpr int prompts = 60;

private:
    bool request(std::uint64_t prompt)
    {
        const auto daemon = static_cast<std::size_t>(m_requests++ % (daemons + 1)) % daemons;
        const auto chosen = m_balancers[daemon].startRequest(m_list, { .service = service_id { "model" }, .affinity = prompt, .zone = zone_id { "za" }, .fleet = &m_fleets[daemon] });
        BOOST_REQUIRE(chosen.has_value());
        m_balancers[daemon].finishRequest(chosen->server.id, server_outcome::Served);
        return m_held.emplace(chosen->server.id, prompt).second;
    }

    void exchange()
    {
        for (auto& from : m_balancers) {
            const auto homes = from.takePromptUpdates();
            for (auto& to : m_balancers) {
                if (&to != &from)
                    to.mergePromptUpdates(homes);
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

// By rank alone, four servers that join eight would read a third of the prompts, and the next four a quarter.
BOOST_AUTO_TEST_CASE(serversThatJoinReadNoPromptThatOthersHold)
{
    prompt_load load;
    BOOST_TEST(load.play(4) == prompt_load::prompts);
    for (const int count : { 12, 16 }) {
        load.setServers(testServers(count));
        BOOST_TEST(load.play(4) == 0);
    }
}

// The daemons agree on where the prompts of a server go that leaves, also while others join.
BOOST_AUTO_TEST_CASE(promptsOfALeavingServerAreReadOnce)
{
    prompt_load load;
    load.play(4);
    server_list list = testServers(12);
    for (int server = 0; server < 4; ++server)
        list.servers.at(testServer(server).id).isDraining = true;
    load.setServers(list);
    const int reads = load.play(8);
    BOOST_TEST(reads > 10);
    BOOST_TEST(reads < prompt_load::prompts * 3 / 4);
    BOOST_TEST(load.play(4) == 0);
}

BOOST_AUTO_TEST_SUITE_END()
