// Tests the rates and the slowness of the platform's stand-in; platform_client_test.cpp tests its other faults.
#include "radishflow/Emulator/platform_emulator.h"

#include "emulator_caller.h"

#include <boost/test/unit_test.hpp>

using namespace radishflow;

static int countRefused(const emulator_caller& caller, const std::string& path, const std::string& body, int calls)
{
    int refused = 0;
    for (int count = 0; count < calls; ++count)
        refused += caller.call("POST", path, body).status == 429 ? 1 : 0;
    return refused;
}

BOOST_AUTO_TEST_CASE(refusesWhatIsOverTheRates)
{
    platform_emulator platform { {}, { .writesPerSecond = 0.01, .readsPerSecond = 0.01, .weightsPerSecond = 0.01 } };
    const emulator_caller caller { platform.port() };
    BOOST_TEST(countRefused(caller, "/v3/kv/txn", "{}", 3) == 2);
    BOOST_TEST(caller.call("PUT", "/objects/b/k", "x").status == 429);
    BOOST_TEST(countRefused(caller, "/v3/kv/range", R"({"key":"YQ=="})", 3) == 2);
    BOOST_TEST(caller.call("GET", "/objects/b/k").status == 429);
    BOOST_TEST(caller.call("GET", "/weights/m").status == 200);
    const http_call_reply refused = caller.call("GET", "/weights/m");
    BOOST_TEST(refused.status == 429);
    BOOST_TEST(refused.headers.count("retry-after") == 1U);
    BOOST_TEST(caller.recorded("writes") == 1);
    BOOST_TEST(caller.recorded("refused_writes") == 3);
    BOOST_TEST(caller.recorded("refused_reads") == 3);
}

BOOST_AUTO_TEST_CASE(answersLateWhileSlow)
{
    platform_emulator platform { {}, {} };
    const emulator_caller caller { platform.port() };
    caller.setFaults(R"({"slow_ms": 120})");
    const auto begin = std::chrono::steady_clock::now();
    BOOST_TEST(caller.call("GET", "/sd/hosts").status == 200);
    BOOST_TEST((std::chrono::steady_clock::now() - begin >= std::chrono::milliseconds { 120 }));
}

BOOST_AUTO_TEST_CASE(wontRefuseConnectionsWithoutAControlAddress)
{
    platform_emulator platform { {}, {} };
    BOOST_TEST(emulator_caller { platform.port() }.call("POST", "/control/faults", R"({"down":"refuse"})").status == 409);
}
