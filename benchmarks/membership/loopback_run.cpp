// Runs several gossip transports in one process and measures their traffic for 10 s.
#include "loopback_run.h"

#include "radishflow/Gossip/gossip_transport.h"

#include <cstdio>
#include <thread>

namespace radishflow {

using namespace std::chrono_literals;

static constexpr int measurementSeconds = 10;

void runLoopback(std::size_t daemons)
{
    std::vector<std::unique_ptr<gossip_transport>> fleet;
    for (std::size_t i = 0; i < daemons; ++i) {
        gossip_transport_options options { .membership = { .id = daemon_id { "d" + std::to_string(i) }, .incarnation = incarnation_number { 1 }, .address = peer_address { "127.0.0.1:0" }, .http = "127.0.0.1:1", .zone = zone_id { "z" + std::to_string(i % 3) }, .region = region_id { "r" } },
            .keys = { "benchmark" },
            .randomSeed = i };
        auto started = valueOr([&] { return gossip_transport::start(options); }, [](const failure& error) {
            std::printf("%s\n", describe(error).c_str());
            return std::unique_ptr<gossip_transport> {}; });
        if (!started)
            return;
        if (!fleet.empty())
            started->seed({ { .address = fleet.front()->address() } });
        fleet.push_back(std::move(started));
    }
    std::this_thread::sleep_for(5s);
    std::vector<gossip_traffic> before;
    before.reserve(fleet.size());
    for (const auto& transport : fleet)
        before.push_back(transport->traffic());
    for (int second = 0; second < measurementSeconds; second += 2) {
        for (const auto& transport : fleet)
            transport->setLoads({ { .service = 1, .running = static_cast<std::uint32_t>(second), .servers = 4 }, { .service = 2, .running = 1, .servers = 4 } });
        std::this_thread::sleep_for(2s);
    }
    std::uint64_t datagrams = 0;
    std::chrono::nanoseconds sending {};
    std::chrono::nanoseconds receiving {};
    std::chrono::nanoseconds ticking {};
    std::chrono::nanoseconds threads {};
    std::uint64_t received = 0;
    for (std::size_t i = 0; i < daemons; ++i) {
        const gossip_traffic after = fleet[i]->traffic();
        threads += after.threadTime - before[i].threadTime;
        ticking += after.tickTime - before[i].tickTime;
        for (std::size_t kind = 0; kind < messageKindCount; ++kind) {
            datagrams += after.sent[kind].datagrams - before[i].sent[kind].datagrams;
            received += after.received[kind].datagrams - before[i].received[kind].datagrams;
            sending += after.sent[kind].processorTime - before[i].sent[kind].processorTime;
            receiving += after.received[kind].processorTime - before[i].received[kind].processorTime;
        }
    }
    const double daemonSeconds = static_cast<double>(daemons) * measurementSeconds;
    std::printf("%zu transports over loopback, %d s: knows %zu, %.1f datagrams/s sent, %.1f us to send, %.1f us to receive, "
                "gossip thread %.4f%% of a core, of it ticks %.4f%%\n",
        daemons, measurementSeconds, fleet.back()->members().size(), static_cast<double>(datagrams) / daemonSeconds,
        static_cast<double>(sending.count()) / 1e3 / static_cast<double>(datagrams), static_cast<double>(receiving.count()) / 1e3 / static_cast<double>(received),
        static_cast<double>(threads.count()) / 1e7 / daemonSeconds, static_cast<double>(ticking.count()) / 1e7 / daemonSeconds);
    std::fflush(stdout);
}

} // namespace radishflow
