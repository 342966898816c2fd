// Compares placement policies on the same arrivals in virtual time: cache reuse, load skew and service.
#include "radishflow/Placement/bounded_rendezvous.h"
#include "radishflow/Placement/hash_ring.h"
#include "radishflow/Placement/least_loaded.h"
#include "radishflow/Placement/random_choice.h"
#include "radishflow/Placement/round_robin.h"

#include "fleet_simulation.h"

#include <gflags/gflags.h>

#include <cstdio>
#include <memory>
#include <random>
#include <sstream>

DEFINE_string(layout, "port-louis", "port-louis (20 workers, 4 zones), digitising-office (12, 3) or large (1300, 9)");
DEFINE_string(scenarios, "steady,churn,zone-planned,zone-lost,surge", "scenarios, separated by commas");
DEFINE_string(policies, "rendezvous,rendezvous-unasked,random,round-robin,least-load,plain-ring", "policies, separated by commas");
DEFINE_uint64(deciders, 7, "daemons that choose servers");
DEFINE_uint64(seed, 1, "seed of arrivals, churn and random choices");
DEFINE_uint64(runs, 1, "runs, with consecutive seeds from --seed; counters are summed, worst values are taken over all runs");
DEFINE_double(mean_deviations, 3, "standard deviations that owners subtract from the mean load");
DEFINE_uint64(homes, 2, "ranks that are queried for the prefix first");
DEFINE_double(mean_delay, 0.5, "minimum age in seconds of the mean load that owners use; the age is up to 0.5 s higher");
DEFINE_bool(import_on_spill, true, "a server imports the prefix from a full holder");
DEFINE_uint64(far_ranks, 2, "servers of other regions at the end of a ranking");
DEFINE_uint64(surge_chats, 0, "chats that take part in the surge; 0 means 1.5 per server");
DEFINE_double(load_multiple, 1.25, "bound of a server's load as a multiple of the mean");
DEFINE_double(per_server, 1.154, "requests per second for each server");
DEFINE_double(seconds, 220, "virtual length of a run");
DEFINE_bool(mean_per_region, false, "owners and checks use the mean of the server's region");
DEFINE_double(mean_window, 0.5, "seconds over which owners take the minimum of the mean load");
DEFINE_double(exports, 2, "prefixes per second that an engine exports when servers leave or return");
DEFINE_uint64(attempts, 8, "maximum number of servers that a probe sequence tries");

namespace radishflow {

static constexpr sim_time warmUp { 70 };

static std::vector<std::string> splitList(const std::string& text)
{
    std::vector<std::string> words;
    std::istringstream in { text };
    for (std::string word; std::getline(in, word, ',');)
        words.push_back(word);
    return words;
}

static fleet_options makeOptions(const std::string& policy, std::uint64_t seed)
{
    fleet_options options;
    options.loadMultiple = FLAGS_load_multiple;
    options.enforcesBound = policy != "plain-ring";
    options.meanPerRegion = FLAGS_mean_per_region;
    options.meanDeviations = FLAGS_mean_deviations;
    options.meanWindow = sim_time { FLAGS_mean_window };
    options.deciders = FLAGS_deciders;
    options.maxAttempts = FLAGS_attempts;
    options.triesAffinityRanksFirst = policy == "rendezvous";
    options.importsOnSpill = options.triesAffinityRanksFirst && FLAGS_import_on_spill;
    options.affinityRanks = FLAGS_homes;
    options.meanDelay = sim_time { FLAGS_mean_delay };
    options.exportsPerSecond = policy.starts_with("rendezvous") ? FLAGS_exports : 0;
    options.seed = seed;
    return options;
}

/// Inputs that are the same for all policies of a run.
struct run_inputs {
    const fleet_layout& layout;
    std::uint64_t seed;
    scenario events;
    std::vector<chat_turn> turns;
};

static run_inputs makeInputs(const std::string& scenarioName, const fleet_layout& layout, std::uint64_t seed)
{
    const sim_time length { FLAGS_seconds };
    run_inputs inputs { .layout = layout, .seed = seed, .events = findScenario(scenarioName, layout, length, seed), .turns = {} };
    inputs.turns = makeArrivals({ .requestsPerSecond = FLAGS_per_server * static_cast<double>(layout.servers),
        .length = length,
        .surgeShare = inputs.events.surgeShare,
        .surgeChats = FLAGS_surge_chats > 0 ? FLAGS_surge_chats : layout.servers * 3 / 2,
        .surgeStart = inputs.events.eventStart,
        .surgeEnd = inputs.events.eventEnd,
        .seed = seed });
    return inputs;
}

template <typename MakePolicy>
static void runPolicy(const std::string& name, const run_inputs& inputs, measurements& results, MakePolicy&& makePolicy)
{
    const fleet_options options = makeOptions(name, inputs.seed);
    using policy_type = decltype(makePolicy(std::size_t { 0 }));
    fleet_simulation<policy_type> simulation { inputs.layout, options, inputs.events, inputs.turns, makePolicy, results };
    simulation.run(sim_time { FLAGS_seconds });
    results.finishRun(inputs.events);
}

static void runPolicyByName(const std::string& name, const run_inputs& inputs, measurements& results)
{
    using random_type = std::mt19937_64;
    random_type random { inputs.seed };
    if (name == "random")
        return runPolicy(name, inputs, results, [&](std::size_t) { return random_choice<random_type> { random }; });
    if (name == "round-robin")
        return runPolicy(name, inputs, results, [&](std::size_t) { return round_robin { random() }; });
    if (name == "least-load")
        return runPolicy(name, inputs, results, [&](std::size_t) { return least_loaded<random_type> { random }; });
    if (name == "plain-ring")
        return runPolicy(name, inputs, results, [](std::size_t) { return hash_ring {}; });
    return runPolicy(name, inputs, results, [](std::size_t) { return bounded_rendezvous { { .remoteRanks = FLAGS_far_ranks } }; });
}

static void runScenario(const std::string& name, const fleet_layout& layout)
{
    const std::vector<std::string> policies = splitList(FLAGS_policies);
    std::vector<measurements> results(policies.size(), measurements { warmUp, sim_time { FLAGS_seconds } });
    std::size_t requests = 0;
    for (std::uint64_t run = 0; run < FLAGS_runs; ++run) {
        const run_inputs inputs = makeInputs(name, layout, FLAGS_seed + run);
        requests += inputs.turns.size();
        for (std::size_t i = 0; i < policies.size(); ++i)
            runPolicyByName(policies[i], inputs, results[i]);
    }
    std::printf("\n%s, %s, %zu servers, %zu deciders, %zu requests, c %.2f\n%s\n", layout.name.c_str(), name.c_str(), layout.servers,
        static_cast<std::size_t>(FLAGS_deciders), requests, FLAGS_load_multiple, measurements::header().c_str());
    for (std::size_t i = 0; i < policies.size(); ++i)
        std::printf("%s\n", results[i].row(policies[i]).c_str());
    std::fflush(stdout);
}

static int runAll()
{
    const fleet_layout layout = findLayout(FLAGS_layout);
    if (layout.servers == 0) {
        std::fprintf(stderr, "unknown layout %s\n", FLAGS_layout.c_str());
        return 1;
    }
    for (const std::string& name : splitList(FLAGS_scenarios)) {
        if (findScenario(name, layout, sim_time { FLAGS_seconds }, FLAGS_seed).name.empty()) {
            std::fprintf(stderr, "unknown scenario %s\n", name.c_str());
            return 1;
        }
        runScenario(name, layout);
    }
    return 0;
}

} // namespace radishflow

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("compares placement policies in virtual time");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    return radishflow::runAll();
}
