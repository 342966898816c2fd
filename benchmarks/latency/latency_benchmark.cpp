// Measures the latency that a daemon adds to streamed tokens, and its processor time and memory, with real processes on loopback.
#include "Support/percentile.h"
#include "Support/process_usage.h"
#include "stream_round.h"
#include "test_fleet.h"

#include <gflags/gflags.h>

#include <cstdio>
#include <sstream>
#include <thread>

DEFINE_string(streams, "1,64,256", "numbers of concurrent streams; empty skips the measurement of streams");
DEFINE_int32(spread_ms, 1000, "time over which the starts of the streams of a round are spread");
DEFINE_int32(tokens, 100, "tokens of each response");
DEFINE_int32(single_answers, 8, "responses read in the round with a single stream, to have enough samples for percentiles");
DEFINE_int32(idle_seconds, 10, "length of the measurement of an idle fleet; 0 skips it");
DEFINE_int32(idle_daemons, 6, "daemons of the idle fleet");

using namespace radishflow;

static const std::vector<std::string> engineArguments { "--slots=512", "--cold_limit=0", "--first_token_ms=50", "--token_interval_ms=20" };

static const std::string serviceFile = "services:\n"
                                       "  assistant:\n    kind: model\n    models: [hydro-large]\n    cold_limit: 600\n    server_limit: 600\n    load_multiple: 4\n    request_timeout: 20s\n"
                                       "workspaces:\n  desk: { priority: 3, limit: 5000, services: [assistant] }\n";

static void printTimes(const char* path, int streams, const round_latencies& times)
{
    std::printf("%-7s %4d | first %7.2f %7.2f %7.2f | between %6.2f %6.2f %6.2f | whole %d failed %d %s\n", path, streams,
        percentileOf(times.firstToken, 0.5), percentileOf(times.firstToken, 0.95), percentileOf(times.firstToken, 0.99),
        percentileOf(times.betweenTokens, 0.5), percentileOf(times.betweenTokens, 0.95), percentileOf(times.betweenTokens, 0.99),
        times.completed, times.failed, times.firstError.c_str());
}

static void printAddedLatency(const round_latencies& direct, const round_latencies& through)
{
    const auto added = [](const std::vector<double>& with, const std::vector<double>& without, double share) { return percentileOf(with, share) - percentileOf(without, share); };
    std::printf("added        | first %7.2f %7.2f %7.2f | between %6.2f %6.2f %6.2f\n",
        added(through.firstToken, direct.firstToken, 0.5), added(through.firstToken, direct.firstToken, 0.95), added(through.firstToken, direct.firstToken, 0.99),
        added(through.betweenTokens, direct.betweenTokens, 0.5), added(through.betweenTokens, direct.betweenTokens, 0.95), added(through.betweenTokens, direct.betweenTokens, 0.99));
}

static bool measureStreams()
{
    test_fleet fleet { { .zones = { "za" }, .daemons = 1, .engines = 1, .plains = 0, .engineArguments = engineArguments, .serviceFile = serviceFile } };
    if (!fleet.isReady()) {
        std::puts("the fleet did not become ready");
        return false;
    }
    std::puts("milliseconds at p50 p95 p99");
    bool isComplete = true;
    std::istringstream list { FLAGS_streams };
    for (std::string word; std::getline(list, word, ',');) {
        const int streams = std::stoi(word);
        round_options options { .address = fleet.engines()[0].target, .streams = streams, .responses = streams == 1 ? FLAGS_single_answers : 2, .tokens = FLAGS_tokens, .spread = std::chrono::milliseconds { FLAGS_spread_ms } };
        const round_latencies direct = runRound(options);
        options.address = fleet.daemons()[0].http;
        const process_usage before = usageOf(fleet.daemons()[0].process->pid());
        const round_latencies through = runRound(options);
        const process_usage after = usageOf(fleet.daemons()[0].process->pid());
        printTimes("engine", streams, direct);
        printTimes("daemon", streams, through);
        printAddedLatency(direct, through);
        const double used = after.processorSeconds - before.processorSeconds;
        const auto tokens = static_cast<double>(through.firstToken.size() + through.betweenTokens.size());
        std::printf("daemon  %4d | processor %.2f s, %.2f ms a stream, %.1f us a token | resident %.1f MB before, %.1f MB after, peak %.1f MB, %.0f KB a stream, %d threads\n\n", streams, used,
            1000 * used / std::max(1, through.completed), 1e6 * used / std::max(1.0, tokens), before.residentMegabytes, after.residentMegabytes, after.peakMegabytes, 1024 * (after.peakMegabytes - before.residentMegabytes) / streams, after.threads);
        std::fflush(stdout);
        isComplete = isComplete && direct.failed == 0 && through.failed == 0;
    }
    return isComplete;
}

static bool measureIdle()
{
    // The test fleet polls the platform more often than a daemon does by default. Restores the defaults; the last value of a flag applies.
    const std::vector<std::string> defaults { "--poll_interval_ms=500", "--term_ms=12000", "--report_lag_ms=3000" };
    test_fleet fleet { { .daemons = FLAGS_idle_daemons, .engineArguments = engineArguments, .daemonArguments = defaults } };
    if (!fleet.isReady()) {
        std::puts("the idle fleet did not become ready");
        return false;
    }
    std::vector<process_usage> before;
    for (const fleet_member& daemon : fleet.daemons())
        before.push_back(usageOf(daemon.process->pid()));
    std::this_thread::sleep_for(std::chrono::seconds { FLAGS_idle_seconds });
    std::printf("idle for %d s in a fleet of %d daemons, 3 engines, 1 plain server\n", FLAGS_idle_seconds, FLAGS_idle_daemons);
    for (std::size_t index = 0; index < before.size(); ++index) {
        const process_usage after = usageOf(fleet.daemons()[index].process->pid());
        std::printf("daemon %zu | resident %.1f MB | %.2f %% of a core | %d threads\n", index, after.residentMegabytes, 100 * (after.processorSeconds - before[index].processorSeconds) / FLAGS_idle_seconds, after.threads);
    }
    return true;
}

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("measures token latency through a daemon and directly at an engine");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const bool areStreamsComplete = FLAGS_streams.empty() || measureStreams();
    const bool isIdleMeasured = FLAGS_idle_seconds == 0 || measureIdle();
    return areStreamsComplete && isIdleMeasured ? 0 : 1;
}
