// Plays requests with shared prompts through fleets of several sizes: how often prompts are read again, and how even the load of the
// servers is, with the directory of prompts and without.
#include "simulated_fleet.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace radishflow;
using namespace std::chrono_literals;

namespace {

const std::vector<fleet_load> fleetLoads {
    { .daemons = 7, .servers = 18, .requestsPerSecond = 96, .prompts = 280, .meanSeconds = 1, .slowdownPerRequest = 0.033, .shortShare = 0.35, .clump = 3, .firstTokenDelay = 50ms },
    { .daemons = 61, .servers = 60, .requestsPerSecond = 400, .prompts = 900, .meanSeconds = 1, .slowdownPerRequest = 0.033, .shortShare = 0.35, .clump = 3, .firstTokenDelay = 50ms },
    { .daemons = 131, .servers = 140, .requestsPerSecond = 500, .prompts = 1000, .hotShare = 0.05, .meanSeconds = 1, .slowdownPerRequest = 0.033, .shortShare = 0.35, .clump = 3, .firstTokenDelay = 50ms },
    { .daemons = 350, .servers = 240, .requestsPerSecond = 1280, .prompts = 3700, .meanSeconds = 1, .slowdownPerRequest = 0.033, .shortShare = 0.35, .clump = 3, .firstTokenDelay = 50ms },
};

struct outcome {
    double aboveBound = 0;
    double readAgain = 0;
    double copied = 0;
    double estimateError = 0;
    double busiestToMean = 0;
};

outcome playFleet(fleet_load load, bool isContended)
{
    load.isContended = isContended;
    simulated_fleet fleet { load };
    const double aboveBound = fleet.play(load.daemons > 100 ? 8s : 10s);
    return { .aboveBound = aboveBound, .readAgain = fleet.readAgainShare(), .copied = fleet.copiedShare(), .estimateError = fleet.estimateError(), .busiestToMean = fleet.busiestToMean() };
}

} // namespace

// A prompt of 10,000 tokens takes a server 150 ms to read, in which the streams beside it pause.
BOOST_DATA_TEST_CASE(promptsAreRarelyReadAgain, boost::unit_test::data::make(fleetLoads), load)
{
    const outcome usual = playFleet(load, false);
    const outcome contended = playFleet(load, true);
    BOOST_TEST_MESSAGE(load << ": read again " << usual.readAgain << " without the directory, " << contended.readAgain << " with it; busiest server " << usual.busiestToMean << " and " << contended.busiestToMean << " times the mean; copied " << usual.copied << " and " << contended.copied << "; error of the estimated load " << usual.estimateError << " and " << contended.estimateError << "; above the bound " << usual.aboveBound << " and " << contended.aboveBound);
    BOOST_TEST(contended.readAgain <= 0.02);
    // Servers of a real fleet differ in speed, so a sixth of the platform's bound is allowed here.
    BOOST_TEST(contended.aboveBound <= simulated_fleet::maxShareAboveBound / 6);
    BOOST_TEST(contended.busiestToMean <= usual.busiestToMean * 1.1);
}
