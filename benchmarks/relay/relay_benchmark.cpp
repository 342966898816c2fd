// Measures the latency that a relaying daemon on a shared core adds to the first event of streams, and its processor time and memory.
#include "Support/percentile.h"
#include "Support/process_usage.h"
#include "busy_core.h"
#include "event_round.h"
#include "relay_fleet.h"

#include <gflags/gflags.h>

#include <cstdio>
#include <memory>

DEFINE_double(rate, 50, "streams started per second");
DEFINE_int32(seconds, 10, "length of each round");
DEFINE_int32(callers, 32, "callers; each has one stream at a time");
DEFINE_int32(events, 10, "events of each stream, 10 ms apart");
DEFINE_int32(core, 0, "core to which the daemon is bound");
DEFINE_int32(busy_threads, 3, "busy threads on the daemon's core; negative to leave the daemon unbound");

using namespace radishflow;

static void printLatencies(const char* name, const event_round& round)
{
    std::printf("%-8s first event %7.2f %7.2f %7.2f | streams %zu failed %d\n", name, percentileOf(round.firstEvent, 0.5), percentileOf(round.firstEvent, 0.95), percentileOf(round.firstEvent, 0.99), round.firstEvent.size(), round.failed);
}

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    relay_fleet fleet { { .daemons = 1, .servers = 1, .behaviour = { .events = FLAGS_events, .pause = std::chrono::milliseconds { 10 } } } };
    event_round_options options { .address = "127.0.0.1:" + std::to_string(fleet.server(0).port()), .key = relay_fleet::key, .callers = FLAGS_callers, .streamsPerSecond = FLAGS_rate, .length = std::chrono::seconds { FLAGS_seconds } };
    const event_round direct = runEventRound(options);
    options.address = fleet.callerAddress(0);
    const pid_t daemon = fleet.daemon(0).pid();
    const auto core = FLAGS_busy_threads < 0 ? nullptr : std::make_unique<busy_core>(daemon, FLAGS_core, FLAGS_busy_threads);
    const process_usage before = usageOf(daemon);
    const event_round through = runEventRound(options);
    const process_usage after = usageOf(daemon);
    std::printf("milliseconds at p50 p95 p99; %.0f streams a second, %d busy threads on the daemon's core\n", FLAGS_rate, FLAGS_busy_threads);
    printLatencies("direct", direct);
    printLatencies("through", through);
    std::printf("added    first event %7.2f %7.2f %7.2f | %.4f cores, %.1f MB\n", percentileOf(through.firstEvent, 0.5) - percentileOf(direct.firstEvent, 0.5), percentileOf(through.firstEvent, 0.95) - percentileOf(direct.firstEvent, 0.95),
        percentileOf(through.firstEvent, 0.99) - percentileOf(direct.firstEvent, 0.99), (after.processorSeconds - before.processorSeconds) / FLAGS_seconds, after.peakMegabytes);
    return direct.failed + through.failed == 0 ? 0 : 1;
}
