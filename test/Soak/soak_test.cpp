// Runs soaks with the seeds of seeds.txt, or with others: `soak -- --first_seed=1 --seeds=50`.
#include "find_violations.h"
#include "soak_run.h"

#include <boost/test/unit_test.hpp>
#include <gflags/gflags.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>

using namespace radishflow;

DEFINE_uint64(first_seed, 0, "first seed to run; 0 for those of seeds.txt");
DEFINE_int32(seeds, 1, "number of consecutive seeds to run, from first_seed");
DEFINE_int32(steps, 16, "number of faults to draw for each seed");
DEFINE_string(logs, "", "folder for the daemons' logs of each seed; empty to discard them");

static std::vector<std::uint64_t> readSeedFile()
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

static std::vector<std::uint64_t> seedsToRun()
{
    if (FLAGS_first_seed == 0)
        return readSeedFile();
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

BOOST_AUTO_TEST_CASE(guaranteesHoldUnderFaults)
{
    auto& suite = boost::unit_test::framework::master_test_suite();
    gflags::ParseCommandLineFlags(&suite.argc, &suite.argv, true);
    for (const std::uint64_t seed : seedsToRun()) {
        const soak_evidence evidence = soak_run { { .plan = { .seed = seed, .steps = FLAGS_steps }, .logFolder = logFolderOf(seed) } }.run();
        const std::vector<std::string> violations = findViolations(evidence);
        const auto served = std::count_if(evidence.calls.begin(), evidence.calls.end(), [](const soak_call& call) { return call.response.status == 200 && call.response.isComplete; });
        BOOST_TEST_MESSAGE("seed " << seed << ": " << evidence.calls.size() << " calls, " << served << " complete and successful, " << evidence.plan.size() << " faults, " << evidence.stalls.size() << " stalls of the machine, " << violations.size() << " violations");
        BOOST_TEST(served > 0);
        for (const std::string& violation : violations)
            BOOST_ERROR("seed " << seed << ": " << violation);
        if (violations.empty())
            continue;
        for (const soak_step& step : evidence.plan)
            BOOST_TEST_MESSAGE("  " << step.at.count() << " to " << step.end().count() << " ms: " << nameOf(step.fault) << " " << step.target);
    }
}
