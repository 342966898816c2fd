// Plays soaks: those of seeds.txt, or `soak -- --first_seed=1 --seeds=50` for others.
#include "soak_judge.h"
#include "soak_run.h"

#include <boost/test/unit_test.hpp>
#include <gflags/gflags.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>

using namespace radishflow;

DEFINE_uint64(first_seed, 0, "first seed to play; 0 for those of seeds.txt");
DEFINE_int32(seeds, 1, "how many seeds to play from there");
DEFINE_int32(steps, 16, "disturbances that are drawn for each");
DEFINE_string(logs, "", "folder for the daemons' logs of each seed; empty to drop them");

static std::vector<std::uint64_t> seedsOfFile()
{
    std::vector<std::uint64_t> seeds;
    std::ifstream file { RADISHFLOW_SOAK_SEEDS };
    for (std::string line; std::getline(file, line);) {
        std::istringstream words { line };
        if (std::uint64_t seed = 0; words >> seed)
            seeds.push_back(seed);
    }
    return seeds;
}

static std::vector<std::uint64_t> seedsToPlay()
{
    if (FLAGS_first_seed == 0)
        return seedsOfFile();
    std::vector<std::uint64_t> seeds;
    seeds.reserve(static_cast<std::size_t>(std::max(FLAGS_seeds, 0)));
    for (int number = 0; number < FLAGS_seeds; ++number)
        seeds.push_back(FLAGS_first_seed + static_cast<std::uint64_t>(number));
    return seeds;
}

static std::string logFolderOf(std::uint64_t seed)
{
    if (FLAGS_logs.empty())
        return {};
    std::string folder = FLAGS_logs + "/seed-" + std::to_string(seed);
    std::filesystem::create_directories(folder);
    return folder;
}

BOOST_AUTO_TEST_CASE(promisesHoldUnderDisturbances)
{
    auto& suite = boost::unit_test::framework::master_test_suite();
    gflags::ParseCommandLineFlags(&suite.argc, &suite.argv, true);
    for (const std::uint64_t seed : seedsToPlay()) {
        const soak_evidence evidence = soak_run { { .plan = { .seed = seed, .steps = FLAGS_steps }, .logFolder = logFolderOf(seed) } }.play();
        const std::vector<std::string> broken = judge(evidence);
        const auto served = std::count_if(evidence.calls.begin(), evidence.calls.end(), [](const soak_call& call) { return call.answer.status == 200 && call.answer.isWhole; });
        BOOST_TEST_MESSAGE("seed " << seed << ": " << evidence.calls.size() << " calls, " << served << " served whole, " << evidence.plan.size() << " disturbances, " << evidence.stalls.size() << " stalls of the machine, " << broken.size() << " promises broken");
        BOOST_TEST(served > 0);
        for (const std::string& each : broken)
            BOOST_ERROR("seed " << seed << ": " << each);
        if (broken.empty())
            continue;
        for (const soak_step& step : evidence.plan)
            BOOST_TEST_MESSAGE("  " << step.at.count() << " to " << step.end().count() << " ms: " << nameOf(step.fault) << " " << step.target);
    }
}
