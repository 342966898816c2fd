// Plays orders to roll versions out in fleets of several sizes, in virtual time: what the target gets, and how the order ends.
#include "radishflow/Routing/rollout_manager.h"
#include "radishflow/Support/manual_clock.h"

#include "test_servers.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <ostream>
#include <random>
#include <string>
#include <utility>
#include <vector>

using namespace radishflow;
using namespace std::chrono_literals;

namespace {

/// How the target differs from the version that it replaces.
struct version_fault_plan {
    double failureShare = 0;
    double slowdown = 1;
    duration begin {}; ///< Since the order.
    int onlyRoute = -1; ///< Route that alone shows it; -1 for all.
    int minRequestsPerSecond = 0; ///< Of a server; below it there is no fault.
};

struct rollout_case {
    const char* name;
    version_fault_plan fault;
    std::optional<rollout_state> end;
    bool hasTarget = true; ///< Whether servers of the target are ever listed.
    duration storeOutageBegin {}; ///< Since the order.
    duration storeOutageEnd {};
    bool losesCoordinator = false; ///< Whether the first coordinator ends in the middle of the ramp.
    bool isRestored = false; ///< Whether the store comes back from a copy of before the order in the middle of the ramp.

    friend std::ostream& operator<<(std::ostream& out, const rollout_case& test) { return out << test.name; }
};

const rollout_case rollouts[] {
    { .name = "a sound version", .end = rollout_state::Done },
    { .name = "half of the responses fail at once", .fault = { .failureShare = 0.5 }, .end = rollout_state::RolledBack },
    { .name = "a quarter of the responses fail later", .fault = { .failureShare = 0.25, .begin = 4s }, .end = rollout_state::RolledBack },
    { .name = "one route fails", .fault = { .failureShare = 0.6, .onlyRoute = 1 }, .end = rollout_state::RolledBack },
    { .name = "responses take five times as long", .fault = { .slowdown = 5 }, .end = rollout_state::RolledBack },
    { .name = "half of the responses fail under load", .fault = { .failureShare = 0.5, .minRequestsPerSecond = 3 }, .end = rollout_state::RolledBack },
    { .name = "no server of the target appears", .end = rollout_state::RolledBack, .hasTarget = false },
    { .name = "a sound version, the store is away", .end = rollout_state::Done, .storeOutageBegin = 3s, .storeOutageEnd = 7s },
    { .name = "half fail while the store is away", .fault = { .failureShare = 0.5 }, .end = rollout_state::RolledBack, .storeOutageBegin = 1s, .storeOutageEnd = 9s },
    { .name = "a sound version, the coordinator ends", .end = rollout_state::Done, .losesCoordinator = true },
    { .name = "half fail later, the coordinator ends", .fault = { .failureShare = 0.5, .begin = 5s }, .end = rollout_state::RolledBack, .losesCoordinator = true },
    { .name = "a sound version, the store loses the status", .end = rollout_state::Done, .isRestored = true },
    { .name = "half fail, the store loses the status", .fault = { .failureShare = 0.5 }, .end = rollout_state::RolledBack, .isRestored = true },
};

struct fleet_size {
    int daemons;
    int servers; ///< Of each version.
    int requestsPerSecond;

    friend std::ostream& operator<<(std::ostream& out, const fleet_size& size) { return out << size.daemons << " daemons"; }
};

const fleet_size fleetSizes[] { { 7, 18, 130 }, { 70, 24, 300 }, { 350, 40, 700 } };

/// A fleet of managers that exchange datagrams, before servers of two versions and a row of the store.
class rollout_fleet {
public:
    static constexpr auto ramp = 12s;

    rollout_fleet(const fleet_size& size, const rollout_case& plan)
        : m_size(size)
        , m_plan(plan)
        , m_listed(testServers(size.servers))
        , m_requestsAtServer(static_cast<std::size_t>(2 * size.servers))
    {
        for (auto& [id, server] : m_listed.servers)
            server.version = software_version { "v1" };
        for (int number = 0; number < size.daemons; ++number) {
            m_managers.push_back(std::make_unique<rollout_manager<manual_clock>>(m_clock, rollout_options { .isEnabled = true }));
            m_views.push_back(testFleet(size.daemons, number));
        }
        for (fleet_view& view : m_views) {
            for (std::size_t number = 0; number < view.daemons.size(); ++number)
                view.daemons[number].zone = zone_id { "z" + std::to_string(number % 3) };
        }
    }

    void play()
    {
        run(3s);
        m_orderedAt = m_clock.now();
        order(1);
        for (int number = 0; m_plan.hasTarget && number < m_size.servers; ++number) {
            listed_server server = testServer(m_size.servers + number);
            server.version = software_version { "v2" };
            server.listedAt = m_clock.now();
            server.coldUntil = m_clock.now() + 1s;
            m_listed.servers.emplace(server.id, server);
        }
        run(6s);
        if (m_plan.losesCoordinator)
            m_lostDaemon = daemonOf(rolloutCoordinators(m_views.front(), service()).front()->id);
        if (m_plan.isRestored) {
            m_row.reset();
            m_era = 1;
            order(1);
        }
        run(9s);
    }

    std::optional<rollout_state> end() const { return m_row ? std::optional { m_row->state } : std::nullopt; }
    std::vector<rollout_state> recordedEnds() const { return m_ends; }
    long requestsOfOrder() const { return m_requests; }
    long requestsOfTarget() const { return m_targetRequests; }
    long targetRequestsAfterBound() const { return m_targetRequestsAfterBound; }

private:
    static constexpr auto step = 50ms;
    static constexpr int stepsPerRound = 5; // The daemon's tasks run each 250 ms.
    static constexpr int routes = 3;
    static constexpr std::size_t peersPerRound = 6; // As in hint_exchange_options.
    static constexpr long badResponsesBeforeBound = 50; // As in the platform's bound on a faulty version.
    static constexpr auto rollbackTime = 5s;

    static service_id service() { return service_id { "model" }; }
    std::size_t daemonOf(const daemon_id& id) const { return std::stoul(id.value().substr(1)); }
    bool isUp(std::size_t daemon) const { return daemon != m_lostDaemon; }
    bool isStoreAway() const { return m_orderedAt && m_clock.now() - *m_orderedAt >= m_plan.storeOutageBegin && m_clock.now() - *m_orderedAt < m_plan.storeOutageEnd; }

    void order(std::uint64_t revision)
    {
        for (const auto& manager : m_managers)
            manager->recordOrder({ .service = service(), .target = software_version { "v2" }, .ramp = ramp, .revision = revision, .era = m_era });
    }

    void run(duration length)
    {
        for (const time_point end = m_clock.now() + length; m_clock.now() < end; m_clock.advance(step)) {
            if (m_steps++ % stepsPerRound == 0) {
                exchange();
                std::fill(m_requestsAtServer.begin(), m_requestsAtServer.end(), 0);
            }
            std::poisson_distribution<int> arrivals { m_size.requestsPerSecond * std::chrono::duration<double>(step).count() };
            for (int count = arrivals(m_random); count > 0; --count)
                sendRequest();
        }
    }

    void exchange()
    {
        for (std::size_t sender = 0; sender < m_managers.size(); ++sender) {
            if (!isUp(sender))
                continue;
            rollout_manager<manual_clock>& manager = *m_managers[sender];
            for (const auto& [name, evidence] : manager.takeEvidence([](const service_id&, const software_version&) { return 0; })) {
                for (const fleet_daemon* coordinator : rolloutCoordinators(m_views[sender], name)) {
                    if (daemonOf(coordinator->id) != sender)
                        m_managers[daemonOf(coordinator->id)]->mergeEvidence(std::to_string(sender), evidence);
                }
            }
            for (const rollout_action& action : manager.coordinate(m_listed, m_views[sender]))
                execute(manager, action);
            const std::vector<rollout_notice> notices = manager.notices();
            const bool concernsAll = std::any_of(notices.begin(), notices.end(), [](const rollout_notice& notice) { return notice.isUrgent; });
            for (std::size_t count = 0; count < (concernsAll ? m_managers.size() : peersPerRound); ++count) {
                for (const rollout_notice& notice : notices)
                    m_managers[concernsAll ? count : m_random() % m_managers.size()]->mergeNotice(notice);
            }
        }
    }

    void execute(rollout_manager<manual_clock>& manager, const rollout_action& action)
    {
        if (isStoreAway())
            return;
        if (action.status && action.status->revision == (m_row ? m_row->revision : 0)) {
            m_row = action.status;
            m_row->revision = ++m_revision;
            if (hasEnded(m_row->state))
                m_ends.push_back(m_row->state);
        }
        manager.recordStatus(action.service, m_row);
    }

    bool showsFault(const listed_server& server, int route) const
    {
        if (server.version != software_version { "v2" } || !m_orderedAt || m_clock.now() - *m_orderedAt < m_plan.fault.begin || (m_plan.fault.onlyRoute >= 0 && route != m_plan.fault.onlyRoute))
            return false;
        const double rate = m_requestsAtServer[indexOf(server)] / (std::chrono::duration<double>(step).count() * stepsPerRound);
        return rate >= m_plan.fault.minRequestsPerSecond;
    }

    static std::size_t indexOf(const listed_server& server) { return std::stoul(server.id.value().substr(1)); }

    void sendRequest()
    {
        std::size_t daemon = m_random() % m_managers.size();
        while (!isUp(daemon))
            daemon = m_random() % m_managers.size();
        version_restriction restriction = m_managers[daemon]->restrictionFor(m_listed, service(), m_random(), std::nullopt, m_clock.now() - 500ms);
        std::vector<const listed_server*> admitted = m_listed.eligible(service());
        std::erase_if(admitted, [&](const listed_server* server) { return !restriction.admits(*server); });
        if (m_row && m_row->state == rollout_state::Done)
            std::erase_if(admitted, [](const listed_server* server) { return server->version == software_version { "v1" }; });
        if (admitted.empty())
            return;
        const listed_server& server = *admitted[m_random() % admitted.size()];
        const int route = static_cast<int>(m_random() % routes);
        ++m_requestsAtServer[indexOf(server)];
        const bool isFaulty = showsFault(server, route);
        std::lognormal_distribution<double> milliseconds { std::log(50.0 * (route + 1)), 0.4 };
        const bool isFailure = std::bernoulli_distribution { isFaulty ? m_plan.fault.failureShare : 0.01 }(m_random);
        const double time = milliseconds(m_random) * (isFaulty ? m_plan.fault.slowdown : 1);
        m_managers[daemon]->recordSend(server);
        m_managers[daemon]->recordResponse(server, "route " + std::to_string(route), isFailure, std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli> { time }));
        count(server, isFaulty && (isFailure || m_plan.fault.slowdown > 1));
    }

    void count(const listed_server& server, bool isBad)
    {
        if (!m_orderedAt || m_clock.now() - *m_orderedAt >= ramp)
            return;
        ++m_requests;
        if (server.version == software_version { "v1" })
            return;
        ++m_targetRequests;
        m_targetRequestsAfterBound += m_boundAt && m_clock.now() - *m_boundAt > rollbackTime ? 1 : 0;
        m_badResponses += isBad ? 1 : 0;
        if (m_badResponses >= badResponsesBeforeBound && !m_boundAt)
            m_boundAt = m_clock.now();
    }

    fleet_size m_size;
    rollout_case m_plan;
    manual_clock m_clock;
    std::mt19937_64 m_random { 5 };
    server_list m_listed;
    std::vector<std::unique_ptr<rollout_manager<manual_clock>>> m_managers;
    std::vector<fleet_view> m_views;
    std::vector<int> m_requestsAtServer; ///< Of the current round.
    std::size_t m_lostDaemon = static_cast<std::size_t>(-1);
    std::optional<rollout_status> m_row;
    std::uint64_t m_revision = 0;
    std::uint64_t m_era = 0;
    std::vector<rollout_state> m_ends;
    std::optional<time_point> m_orderedAt;
    std::optional<time_point> m_boundAt;
    int m_steps = 0;
    long m_requests = 0;
    long m_targetRequests = 0;
    long m_badResponses = 0;
    long m_targetRequestsAfterBound = 0;
};

} // namespace

BOOST_DATA_TEST_CASE(orderEndsByTheResponsesOfItsTarget, boost::unit_test::data::make(fleetSizes) * boost::unit_test::data::make(rollouts), size, plan)
{
    rollout_fleet fleet { size, plan };
    fleet.play();
    BOOST_TEST_MESSAGE(size << ", " << plan << ": the target got " << fleet.requestsOfTarget() << " of " << fleet.requestsOfOrder() << " requests");
    BOOST_TEST((fleet.end() == plan.end));
    const std::vector<rollout_state> ends = fleet.recordedEnds();
    BOOST_TEST(std::all_of(ends.begin(), ends.end(), [&](rollout_state end) { return end == plan.end; }));
    if (plan.end == rollout_state::Done)
        return;
    // The platform's bounds on a faulty version.
    BOOST_TEST(static_cast<double>(fleet.requestsOfTarget()) <= 0.1 * static_cast<double>(fleet.requestsOfOrder()) + 50);
    BOOST_TEST(fleet.targetRequestsAfterBound() == 0);
}

namespace {

struct restriction_case {
    const char* name;
    bool isEnabled = true;
    bool hasOrder = true;
    std::optional<rollout_notice> notice;
    bool hasBase = true;
    rollout_side side = rollout_side::Any;

    friend std::ostream& operator<<(std::ostream& out, const restriction_case& test) { return out << test.name; }
};

const restriction_case restrictions[] {
    { .name = "not enabled", .isEnabled = false, .notice = rollout_notice { .share = 1 } },
    { .name = "no order", .hasOrder = false },
    { .name = "an order without a notice", .side = rollout_side::Base },
    { .name = "an order without servers of another version", .hasBase = false },
    { .name = "a recent notice", .notice = rollout_notice { .isTrial = false, .share = 1 }, .side = rollout_side::Target },
    { .name = "a share of none", .notice = rollout_notice { .share = 0 }, .side = rollout_side::Base },
    { .name = "an old notice", .notice = rollout_notice { .isTrial = false, .share = 1, .age = 4s }, .side = rollout_side::Base },
    { .name = "a suspension", .notice = rollout_notice { .isSuspended = true, .share = 1 }, .side = rollout_side::Base },
    { .name = "done", .notice = rollout_notice { .state = rollout_state::Done, .share = 1 }, .side = rollout_side::Target },
    { .name = "rolled back", .notice = rollout_notice { .state = rollout_state::RolledBack, .share = 1 }, .side = rollout_side::Base },
};

} // namespace

BOOST_DATA_TEST_CASE(requestsGoToTheSideThatTheNoticeAllows, boost::unit_test::data::make(restrictions), test)
{
    manual_clock clock;
    rollout_manager<manual_clock> manager { clock, { .isEnabled = test.isEnabled } };
    server_list list = testServers(4);
    for (auto& [id, server] : list.servers)
        server.version = software_version { id.value() < "s2" && test.hasBase ? "v1" : "v2" };
    const service_id service { "model" };
    if (test.hasOrder)
        manager.recordOrder({ .service = service, .target = software_version { "v2" }, .ramp = 10s, .revision = 3 });
    if (test.notice) {
        rollout_notice notice = *test.notice;
        notice.service = serviceHashOf(service);
        notice.order = 3;
        manager.mergeNotice(notice);
    }
    BOOST_TEST((manager.restrictionFor(list, service, 9, std::nullopt, clock.now() + 1s).side == test.side));
}

namespace {

struct later_case {
    const char* name;
    rollout_state end;
    duration time; ///< Since the end of the order.
    const char* version; ///< Of a server that is listed then, beside one of the target and one of the former version.
    bool isAdmitted;

    friend std::ostream& operator<<(std::ostream& out, const later_case& test) { return out << test.name; }
};

// The order stays in the operator's table.
const later_case laterCases[] {
    { "a later version soon after the order is done", rollout_state::Done, 1s, "v3", false },
    { "a later version", rollout_state::Done, 6s, "v3", true },
    { "another server of the target", rollout_state::Done, 6s, "v2", true },
    { "a server of the target that was rolled back has restarted", rollout_state::RolledBack, 10s, "v2", false },
    { "the target of a roll-back comes again without an order", rollout_state::RolledBack, 60s, "v2", true },
    { "a later version after a roll-back", rollout_state::RolledBack, 10s, "v3", true },
};

} // namespace

BOOST_DATA_TEST_CASE(endedOrderDoesNotKeepLaterServersOut, boost::unit_test::data::make(laterCases), test)
{
    manual_clock clock;
    rollout_manager<manual_clock> manager { clock, { .isEnabled = true } };
    server_list list = testServers(3);
    list.servers.at(server_id { "s0" }).version = software_version { "v1" };
    list.servers.at(server_id { "s1" }).version = software_version { "v2" };
    const service_id service { "model" };
    manager.recordOrder({ .service = service, .target = software_version { "v2" }, .ramp = 10s, .revision = 3 });
    manager.mergeNotice({ .service = serviceHashOf(service), .order = 3, .state = test.end });
    clock.advance(test.time);
    listed_server& added = list.servers.at(server_id { "s2" });
    added.version = software_version { test.version };
    added.listedAt = clock.now();
    clock.advance(100ms);
    BOOST_TEST(manager.restrictionFor(list, service, 9, std::nullopt, clock.now()).admits(added) == test.isAdmitted);
    // Without servers of any other version, those of the target serve whatever the end was.
    std::erase_if(list.servers, [](const auto& entry) { return entry.second.version != software_version { "v2" }; });
    for (const auto& [id, server] : list.servers)
        BOOST_TEST(manager.restrictionFor(list, service, 9, std::nullopt, clock.now()).admits(server));
}

// The operator writes an order before the servers of its target start.
BOOST_AUTO_TEST_CASE(newVersionWaitsUntilTheOrdersAreKnown)
{
    manual_clock clock;
    rollout_manager<manual_clock> manager { clock, { .isEnabled = true } };
    server_list list = testServers(2);
    list.servers.at(server_id { "s0" }).version = software_version { "v1" };
    listed_server& added = list.servers.at(server_id { "s1" });
    added.version = software_version { "v2" };
    added.listedAt = clock.now() + 10s;
    const service_id service { "model" };
    const auto admits = [&](time_point confirmedAt) { return manager.restrictionFor(list, service, 9, std::nullopt, confirmedAt).admits(added); };
    BOOST_TEST(!admits(clock.now() + 9s));
    BOOST_TEST(admits(clock.now() + 11s));
    list.servers.erase(server_id { "s0" });
    BOOST_TEST(admits(clock.now() + 9s));
}

// The order before stays in the table until the operator writes the next one.
BOOST_DATA_TEST_CASE(versionOfTheNextOrderWaitsUntilTheOrdersAreKnown, boost::unit_test::data::make({ 0, 1, 2 }), stateNumber)
{
    const auto state = static_cast<rollout_state>(stateNumber);
    manual_clock clock;
    rollout_manager<manual_clock> manager { clock, { .isEnabled = true } };
    server_list list = testServers(3);
    list.servers.at(server_id { "s0" }).version = software_version { "v1" };
    list.servers.at(server_id { "s1" }).version = software_version { "v2" };
    const service_id service { "model" };
    manager.recordOrder({ .service = service, .target = software_version { "v2" }, .ramp = 10s, .revision = 3 });
    manager.mergeNotice({ .service = serviceHashOf(service), .order = 3, .state = state });
    clock.advance(60s);
    listed_server& added = list.servers.at(server_id { "s2" });
    added.version = software_version { "v3" };
    added.listedAt = clock.now();
    BOOST_TEST(!manager.restrictionFor(list, service, 9, std::nullopt, clock.now() - 1s).admits(added));
    BOOST_TEST(manager.restrictionFor(list, service, 9, std::nullopt, clock.now() + 1s).admits(added));
}

// A version that is not trusted must not serve the requests that the next order leaves to the others.
BOOST_AUTO_TEST_CASE(targetOfAReplacedOrderStaysOut)
{
    manual_clock clock;
    rollout_manager<manual_clock> manager { clock, { .isEnabled = true } };
    server_list list = testServers(3);
    list.servers.at(server_id { "s0" }).version = software_version { "v1" };
    list.servers.at(server_id { "s1" }).version = software_version { "v2" };
    list.servers.at(server_id { "s2" }).version = software_version { "v3" };
    const service_id service { "model" };
    manager.recordOrder({ .service = service, .target = software_version { "v2" }, .ramp = 10s, .revision = 3 });
    manager.mergeNotice({ .service = serviceHashOf(service), .order = 3, .state = rollout_state::RolledBack });
    manager.recordOrder({ .service = service, .target = software_version { "v3" }, .ramp = 10s, .revision = 4 });
    const auto admits = [&](const char* id) { return manager.restrictionFor(list, service, 9, std::nullopt, clock.now() + 1s).admits(list.servers.at(server_id { id })); };
    BOOST_TEST(admits("s0"));
    BOOST_TEST(!admits("s1"));
    BOOST_TEST(!admits("s2"));
    // A request of the next target that is sent to another version instead.
    manager.mergeNotice({ .service = serviceHashOf(service), .order = 4, .isTrial = false, .share = 1 });
    version_restriction second = manager.restrictionFor(list, service, 9, std::nullopt, clock.now() + 1s);
    BOOST_TEST((second.side == rollout_side::Target));
    second.side = rollout_side::Base;
    BOOST_TEST(second.admits(list.servers.at(server_id { "s0" })));
    BOOST_TEST(!second.admits(list.servers.at(server_id { "s1" })));
    list.servers.erase(server_id { "s0" });
    clock.advance(4s);
    BOOST_TEST(manager.restrictionFor(list, service, 9, std::nullopt, clock.now() + 1s).admits(list.servers.at(server_id { "s1" })));
}

// A daemon that starts after the end was published has the order, but no notice.
BOOST_DATA_TEST_CASE(daemonWithoutNoticesReadsTheStatus, boost::unit_test::data::make({ 1, 2 }), endNumber)
{
    const auto end = static_cast<rollout_state>(endNumber);
    manual_clock clock;
    rollout_manager<manual_clock> manager { clock, { .isEnabled = true } };
    server_list list = testServers(2);
    for (auto& [id, server] : list.servers)
        server.version = software_version { "v2" };
    const service_id service { "model" };
    const rollout_order order { .service = service, .target = software_version { "v2" }, .ramp = 10s, .revision = 3 };
    manager.recordOrder(order);
    fleet_view view = testFleet(7, 0);
    const std::vector<const fleet_daemon*> coordinators = rolloutCoordinators(view, service);
    const auto outsider = std::find_if(view.daemons.begin(), view.daemons.end(), [&](const fleet_daemon& daemon) { return std::find(coordinators.begin(), coordinators.end(), &daemon) == coordinators.end(); });
    view.self = outsider->id;
    BOOST_TEST(manager.coordinate(list, view).empty());
    clock.advance(4s);
    const std::vector<rollout_action> actions = manager.coordinate(list, view);
    BOOST_TEST_REQUIRE(actions.size() == 1U);
    BOOST_TEST(!actions.front().status.has_value());
    manager.recordStatus(service, rollout_status { .service = service, .target = order.target, .state = end, .order = 3, .revision = 8 });
    BOOST_TEST(manager.coordinate(list, view).empty());
    clock.advance(60s);
    listed_server& later = list.servers.at(server_id { "s1" });
    later.version = software_version { "v3" };
    later.listedAt = clock.now();
    clock.advance(1s);
    const version_restriction restriction = manager.restrictionFor(list, service, 9, std::nullopt, clock.now());
    BOOST_TEST(restriction.admits(later));
    BOOST_TEST(restriction.admits(list.servers.at(server_id { "s0" })) == (end == rollout_state::Done));
}

// Otherwise a fleet of 350 exchanges half a million datagrams a second for as long as the notices are renewed.
BOOST_AUTO_TEST_CASE(onlyTheFinderOfAFaultTellsAllAndForAShortTime)
{
    manual_clock clock;
    rollout_manager<manual_clock> finder { clock, { .isEnabled = true } };
    rollout_manager<manual_clock> other { clock, { .isEnabled = true } };
    server_list list = testServers(4);
    for (auto& [id, server] : list.servers)
        server.version = software_version { id.value() < "s2" ? "v1" : "v2" };
    const service_id service { "model" };
    for (rollout_manager<manual_clock>* manager : { &finder, &other }) {
        manager->recordOrder({ .service = service, .target = software_version { "v2" }, .ramp = 10s, .revision = 3 });
        manager->mergeNotice({ .service = serviceHashOf(service), .order = 3, .share = 0.06 });
    }
    for (int count = 0; count < 40; ++count) {
        for (const auto& [id, server] : list.servers)
            finder.recordResponse(server, "route", server.version == software_version { "v2" }, std::nullopt);
    }
    finder.coordinate(list, fleet_view {});
    BOOST_TEST_REQUIRE(finder.notices().size() == 1U);
    BOOST_TEST(finder.notices().front().isSuspended);
    BOOST_TEST(finder.notices().front().isUrgent);
    other.mergeNotice(finder.notices().front());
    BOOST_TEST(other.notices().front().isSuspended);
    BOOST_TEST(!other.notices().front().isUrgent);
    clock.advance(1500ms);
    BOOST_TEST(finder.notices().front().isSuspended);
    BOOST_TEST(!finder.notices().front().isUrgent);
}

// A daemon that knows itself only coordinates by its own evidence, while the others may have ended the order.
BOOST_AUTO_TEST_CASE(coordinatorThatIsCutOffReadsTheStatus)
{
    manual_clock clock;
    rollout_manager<manual_clock> manager { clock, { .isEnabled = true } };
    server_list list = testServers(4);
    for (auto& [id, server] : list.servers)
        server.version = software_version { id.value() < "s2" ? "v1" : "v2" };
    const service_id service { "model" };
    const rollout_order order { .service = service, .target = software_version { "v2" }, .ramp = 30s, .revision = 3 };
    rollout_status row { .service = service, .target = order.target, .order = 3, .startedAt = clock.now(), .revision = 8 };
    manager.recordOrder(order);
    manager.recordStatus(service, row);
    fleet_view alone = testFleet(1);
    alone.size = 70;
    BOOST_TEST(manager.coordinate(list, testFleet(1)).empty());
    clock.advance(1s);
    BOOST_TEST(manager.coordinate(list, testFleet(1)).empty());
    const std::vector<rollout_action> actions = manager.coordinate(list, alone);
    BOOST_TEST_REQUIRE(actions.size() == 1U);
    BOOST_TEST(!actions.front().status.has_value());
    row.state = rollout_state::RolledBack;
    manager.recordStatus(service, row);
    BOOST_TEST((manager.restrictionFor(list, service, 9, std::nullopt, clock.now() + 1s).side == rollout_side::Base));
    clock.advance(2s);
    BOOST_TEST(manager.coordinate(list, alone).empty());
}
