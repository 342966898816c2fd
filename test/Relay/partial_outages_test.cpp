// Tests that an outage of one of the store's tables is not hidden by the others.
#include "relay_fleet.h"

#include <boost/test/unit_test.hpp>

#include <thread>

using namespace radishflow;
using namespace std::chrono_literals;
using std::chrono::steady_clock;

namespace {

constexpr int daemons = 6;
constexpr auto revocationDelay = 5000ms; // As on the users' deployments, like the next one.
constexpr auto renewalTime = 2000ms; ///< Time in which live servers renew their entries after an outage.

// Sends requests to all daemons until a time; returns how many ran at the first server, which the daemons prefer.
int runsAtFirstServer(relay_fleet& fleet, steady_clock::time_point end)
{
    const int before = fleet.server(0).runs();
    while (steady_clock::now() < end) {
        for (int number = 0; number < daemons; ++number)
            fleet.call(number, "/public/a");
        std::this_thread::sleep_for(20ms);
    }
    return fleet.server(0).runs() - before;
}

} // namespace

// Guards against entries that are dropped because the store answers calls for other tables.
BOOST_AUTO_TEST_CASE(entriesThatLapseWhileOnlyTheirTableFailsAreKeptUntilTheyCanBeRenewed)
{
    relay_fleet fleet { { .daemons = daemons, .revocationDelay = revocationDelay } };
    fleet.configure(2);
    std::this_thread::sleep_for(3s); // All daemons have read the same revision from the store.
    fleet.store().setFault(store_fault::Busy, "servers");
    std::this_thread::sleep_for(3600ms);
    fleet.store().unlist("i-0");
    fleet.store().setFault(store_fault::None);
    const auto returnedAt = steady_clock::now();
    BOOST_TEST(runsAtFirstServer(fleet, returnedAt + renewalTime / 2) > 0);
    BOOST_TEST(runsAtFirstServer(fleet, returnedAt + renewalTime - 500ms) > 0);
}
