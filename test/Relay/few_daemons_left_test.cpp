// Tests which daemons the directory names after most of a fleet is lost at the same moment.
#include "relay_fleet.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <ostream>
#include <set>
#include <string>
#include <thread>

using namespace radishflow;
using namespace std::chrono_literals;

namespace {

/// The first `left` daemons remain.
struct daemon_loss_case {
    const char* name;
    int daemons;
    int left;
    int signal; ///< SIGSTOP leaves the lost ones as silent as hosts without power, as nothing refuses datagrams.

    friend std::ostream& operator<<(std::ostream& out, const daemon_loss_case& testCase) { return out << testCase.name; }
};

const daemon_loss_case daemonLosses[] {
    { "2 of 7 killed", 7, 2, SIGKILL },
    { "2 of 20 killed", 20, 2, SIGKILL },
    { "2 of 20 paused", 20, 2, SIGSTOP },
    { "1 of 7 killed", 7, 1, SIGKILL },
};

std::set<std::string> namesOf(relay_fleet& fleet, int daemon)
{
    const auto addresses = fleet.lookUp(daemon);
    return { addresses.begin(), addresses.end() };
}

std::set<std::string> addressesOfFirst(const relay_fleet& fleet, int count)
{
    std::set<std::string> addresses;
    for (int daemon = 0; daemon < count; ++daemon)
        addresses.insert(fleet.callerAddress(daemon));
    return addresses;
}

} // namespace

// Guards against directories that name lost daemons the longer, the more of them are lost for each one that is left (DRAIN).
BOOST_DATA_TEST_CASE(daemonsThatAreLeftNameNoLostOnes, boost::unit_test::data::make(daemonLosses), testCase)
{
    constexpr auto noticeTime = 6s; // The users' contact time and 3 s.
    constexpr auto observed = 15s;
    constexpr int maxLateAnswers = 3;
    relay_fleet fleet { { .daemons = testCase.daemons } };
    const auto all = addressesOfFirst(fleet, testCase.daemons);
    const auto left = addressesOfFirst(fleet, testCase.left);
    for (int daemon = 0; daemon < testCase.left; ++daemon)
        BOOST_REQUIRE(waitUntil(15s, [&] { return namesOf(fleet, daemon) == all; }));
    for (int daemon = testCase.left; daemon < testCase.daemons; ++daemon)
        fleet.daemon(daemon).signal(testCase.signal);
    const auto lostAt = std::chrono::steady_clock::now();
    int lateAnswers = 0;
    std::chrono::milliseconds lastNamed { 0 };
    for (int number = 0; std::chrono::steady_clock::now() < lostAt + observed; ++number) {
        const auto names = namesOf(fleet, number % testCase.left);
        const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - lostAt);
        BOOST_TEST(std::includes(names.begin(), names.end(), left.begin(), left.end()));
        if (names != left)
            lastNamed = age;
        lateAnswers += names != left && age > noticeTime ? 1 : 0;
        std::this_thread::sleep_for(200ms);
    }
    BOOST_TEST_MESSAGE(testCase.name << ": " << lateAnswers << " late answers, lost daemons were last named after " << lastNamed.count() << " ms");
    BOOST_TEST(lateAnswers <= maxLateAnswers);
    if (testCase.signal == SIGSTOP) {
        for (int daemon = testCase.left; daemon < testCase.daemons; ++daemon)
            fleet.daemon(daemon).signal(SIGCONT);
        BOOST_TEST(waitUntil(20s, [&] { return namesOf(fleet, 0) == all; }));
    }
}
