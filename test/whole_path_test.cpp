// Tests the path of requests through real processes: a caller requests addresses, sends chats and places an order.
#include "radishflow/Emulator/expected_answer.h"

#include "test_fleet.h"

#include <boost/test/unit_test.hpp>

#include <string>

using namespace radishflow;

struct whole_path_fixture {
    test_fleet fleet { {} };
    whole_path_fixture() { BOOST_REQUIRE(fleet.isReady()); }
};

BOOST_FIXTURE_TEST_SUITE(wholePath, whole_path_fixture)

BOOST_AUTO_TEST_CASE(callerGetsAddressesOfItsOwnZoneFirst)
{
    const http_call_reply reply = httpCall({ .url = "http://" + fleet.daemons()[0].http + "/v1/addresses?zone=zb" });
    BOOST_TEST(reply.status == 200);
    const std::size_t ownZonePosition = reply.body.find(fleet.daemons()[1].http);
    BOOST_TEST(ownZonePosition != std::string::npos);
    BOOST_TEST(ownZonePosition < reply.body.find(fleet.daemons()[0].http));
    BOOST_TEST(ownZonePosition < reply.body.find(fleet.daemons()[2].http));
}

BOOST_AUTO_TEST_CASE(eachDaemonStreamsTheCompleteResponse)
{
    for (const fleet_member& daemon : fleet.daemons()) {
        std::string stream;
        const http_call_reply reply = httpStream({ .method = "POST",
                                                     .url = "http://" + daemon.http + "/v1/chat/completions",
                                                     .headers = { { "X-Workspace", "desk" }, { "X-Chat", "c1" } },
                                                     .body = chatBody("pressure at node 7", 12, true) },
            [&](std::string_view line) {
                stream.append(line).append("\n");
                return true;
            });
        BOOST_TEST(reply.status == 200);
        BOOST_TEST(contentOf(stream) == expectedAnswer("hydro-large", "pressure at node 7", 12));
    }
}

BOOST_AUTO_TEST_CASE(sameChatReachesTheSameEngineThroughEveryDaemon)
{
    for (const fleet_member& daemon : fleet.daemons())
        BOOST_TEST(contentOf(fleet.chat(daemon, "c2", "again", 4).body) == expectedAnswer("hydro-large", "again", 4));
    int enginesUsed = 0;
    for (const fleet_member& engine : fleet.engines())
        enginesUsed += test_fleet::record(engine.target).find("\"requests\":{}") == std::string::npos ? 1 : 0;
    BOOST_TEST(enginesUsed == 1);
}

BOOST_AUTO_TEST_CASE(workOrderRunsOnce)
{
    const http_call_reply reply = fleet.order(fleet.daemons()[0], "order-1", "{\"valve\":7}");
    BOOST_TEST(reply.status == 200);
    BOOST_TEST(test_fleet::record(fleet.plains()[0].target).find("\"order-1\":1") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(refusalOfAnUnknownWorkspaceReportsThatTheRequestWasNotRun)
{
    const http_call_reply reply = httpCall({ .method = "POST", .url = "http://" + fleet.daemons()[0].http + "/v1/chat/completions", .headers = { { "X-Workspace", "nobody" } }, .body = chatBody("x", 1, false) });
    BOOST_TEST(reply.status == 403);
    BOOST_TEST(reply.body.find("\"execution\":\"not_run\"") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(statusCommandReportsTheDaemonsWhereTheVersionIsInForce)
{
    std::string output;
    BOOST_TEST(fleet.runTool({ "status", "--json" }, &output) == 0);
    BOOST_TEST(output == "{\"version\":1,\"daemons\":3,\"in_force\":3,\"silent\":0}\n");
}

BOOST_AUTO_TEST_SUITE_END()
