// Plays the start of a whole fleet against a store that refuses calls above its rate: each daemon reads a table page by page.
#include "radishflow/Fleet/retry_backoff.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <ostream>
#include <vector>

using namespace radishflow;
using namespace std::chrono_literals;

namespace {

struct start_case {
    std::size_t daemons;
    int pages; ///< Of the table, and so calls of each daemon.
    int callsPerSecond; ///< Rate above which the store refuses calls.
    bool hasBackoff; ///< Otherwise the delay is constant and a refused daemon starts over with the first page.

    friend std::ostream& operator<<(std::ostream& out, const start_case& test) { return out << test.daemons << " daemons, " << test.pages << " pages, backoff " << test.hasBackoff; }
};

constexpr duration constantDelay = 250ms;
constexpr duration callTime = 4ms;
constexpr duration longestPlay = 60s;

// The store counts refused calls towards its rate, in windows of one second.
duration playStart(const start_case& test)
{
    std::minstd_rand random { 5 };
    struct daemon {
        time_point nextCall {};
        int pagesRead = 0;
        retry_backoff<std::minstd_rand> backoff;
    };
    std::uniform_int_distribution<int> startDelayMs { 0, 300 };
    std::vector<daemon> fleet;
    for (std::size_t number = 0; number < test.daemons; ++number)
        fleet.push_back({ .nextCall = time_point { std::chrono::milliseconds { startDelayMs(random) } }, .backoff = retry_backoff { random } });
    int callsInSecond = 0;
    for (time_point now {}; now < time_point { longestPlay }; now += 1ms) {
        if ((now.time_since_epoch() % 1s).count() == 0)
            callsInSecond = 0;
        bool isDone = true;
        for (daemon& caller : fleet) {
            isDone = isDone && caller.pagesRead == test.pages;
            if (caller.pagesRead == test.pages || now < caller.nextCall)
                continue;
            const bool isRefused = ++callsInSecond > test.callsPerSecond;
            caller.pagesRead = isRefused ? (test.hasBackoff ? caller.pagesRead : 0) : caller.pagesRead + 1;
            if (!isRefused)
                caller.backoff.reset();
            caller.nextCall = now + (!isRefused ? callTime : test.hasBackoff ? caller.backoff.next()
                                                                             : constantDelay);
        }
        if (isDone)
            return now.time_since_epoch();
    }
    return longestPlay;
}

const start_case startCases[] {
    { 7, 1, 400, true },
    { 102, 2, 100, true },
    { 303, 6, 680, true },
    { 1000, 6, 2000, true },
};

} // namespace

// Twice the time that the store's rate allows, and the longest delay.
duration boundOf(const start_case& test)
{
    return 2s * static_cast<int>(test.daemons) * test.pages / test.callsPerSecond + retry_backoff_options {}.maxDelay;
}

BOOST_DATA_TEST_CASE(fleetReadsItsTablesAtTheRateOfTheStore, boost::unit_test::data::make(startCases), test)
{
    const duration taken = playStart(test);
    BOOST_TEST_MESSAGE(test << ": " << taken / 1ms << " ms, bound " << boundOf(test) / 1ms << " ms");
    BOOST_TEST((taken <= boundOf(test)));
}

BOOST_AUTO_TEST_CASE(constantDelaysExceedTheBoundInALargeFleet)
{
    const start_case test { 1000, 12, 680, false };
    const duration taken = playStart(test);
    BOOST_TEST_MESSAGE(test << ": " << taken / 1ms << " ms, bound " << boundOf(test) / 1ms << " ms");
    BOOST_TEST((taken > boundOf(test)));
    BOOST_TEST((playStart({ 1000, 12, 680, true }) <= boundOf(test)));
}
