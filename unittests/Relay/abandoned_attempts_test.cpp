// Tests which crashes of servers are attributed to requests that were no longer awaited there.
#include "radishflow/Relay/abandoned_attempts.h"
#include "radishflow/Support/manual_clock.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>

using namespace radishflow;
using namespace std::chrono_literals;

namespace {

listed_server makeServer(const char* id, std::int64_t processStartMs, const char* address = "10.0.0.1:80", const char* service = "s")
{
    return { .id = server_id { id }, .service = service_id { service }, .address = address, .zone = zone_id { "z" }, .processStartMs = processStartMs };
}

struct replacement_case {
    const char* name;
    listed_server listed; ///< Listed in place of server i-1, whose process started at 1.
    std::chrono::milliseconds delay; ///< Between the attempt and the listing.
    int otherRestarts; ///< Of the zone's four further servers, at the same time.
    bool isPlanned; ///< The exit of server i-1 is known to be a planned one.
    bool isCrash;
    bool hasZoneRestarted = false;
};

std::ostream& operator<<(std::ostream& out, const replacement_case& testCase) { return out << testCase.name; }

const replacement_case replacements[] {
    { "same process", makeServer("i-1", 1), 1s, 0, false, false },
    { "new process under the same id", makeServer("i-1", 2), 1s, 0, false, true },
    { "new id at the same address", makeServer("i-2", 2), 1s, 0, false, true },
    { "other address", makeServer("i-2", 2, "10.0.0.2:80"), 1s, 0, false, false },
    { "address of another service", makeServer("i-2", 2, "10.0.0.1:80", "t"), 1s, 0, false, false },
    { "planned exit, new id at the same address", makeServer("i-2", 2), 1s, 0, true, false },
    { "planned exit, new process under the same id", makeServer("i-1", 2), 1s, 0, true, false },
    { "one more server of the zone", makeServer("i-1", 2), 1s, 1, false, true },
    { "most servers of the zone", makeServer("i-1", 2), 1s, 3, false, true, true },
    { "too late", makeServer("i-1", 2), 30s, 0, false, false },
};

} // namespace

BOOST_DATA_TEST_CASE(crashIsAttributedToAbandonedAttempts, boost::unit_test::data::make(replacements), testCase)
{
    manual_clock clock;
    clock.advance(1h);
    abandoned_attempts<manual_clock> attempts { clock };
    attempts.add(makeServer("i-1", 1), { .content = { .high = 1, .low = 2 } });
    time_point plannedEndAt {};
    const auto isPlannedExit = [&](const listed_server& server, time_point endedBy) {
        BOOST_TEST(server.id.value() == "i-1");
        plannedEndAt = endedBy;
        return testCase.isPlanned;
    };
    for (const bool isDraining : { false, true }) {
        server_list before;
        before.servers.emplace(server_id { "i-1" }, makeServer("i-1", 1)).first->second.isDraining = isDraining;
        BOOST_TEST(attempts.takeCrashed(before, isPlannedExit).empty());
        BOOST_TEST(attempts.hasAttemptsAt(makeServer("i-1", 1)));
    }
    clock.advance(testCase.delay);
    server_list after;
    listed_server successor = testCase.listed;
    successor.listedAt = clock.now();
    after.servers.emplace(successor.id, successor);
    for (int number = 0; number < 4; ++number) {
        const std::string id = "other-" + std::to_string(number);
        listed_server other = makeServer(id.c_str(), 1, id.c_str());
        other.listedAt = number < testCase.otherRestarts ? clock.now() : time_point {};
        after.servers.emplace(other.id, other);
    }
    BOOST_TEST(attempts.takeCrashed(after, isPlannedExit).empty()); // Other servers of the zone may follow.
    clock.advance(abandoned_attempts<manual_clock>::settlingTime);
    const auto crashed = attempts.takeCrashed(after, isPlannedExit);
    BOOST_TEST(crashed.size() == (testCase.isCrash ? 1U : 0U));
    BOOST_TEST((!crashed.empty() && crashed.front().hasZoneRestarted) == testCase.hasZoneRestarted);
    BOOST_TEST(attempts.takeCrashed(after, isPlannedExit).empty());
    if (testCase.isPlanned)
        BOOST_TEST((plannedEndAt == successor.listedAt));
}

BOOST_AUTO_TEST_CASE(attemptsAtACrashedProcessAreReturnedOnce)
{
    manual_clock clock;
    abandoned_attempts<manual_clock> attempts { clock };
    attempts.add(makeServer("i-1", 1), {});
    attempts.add(makeServer("i-1", 2), {});
    BOOST_TEST(attempts.hasAttemptsAt(makeServer("i-1", 1)));
    BOOST_TEST(attempts.takeAttemptsAt(makeServer("i-1", 1)).size() == 1U);
    BOOST_TEST(!attempts.hasAttemptsAt(makeServer("i-1", 1)));
    BOOST_TEST(attempts.hasAttemptsAt(makeServer("i-1", 2)));
}
