// Measures the time to rank servers for one request.
#include "radishflow/Placement/bounded_rendezvous.h"
#include "radishflow/Placement/chat_server_hash.h"

#include <gflags/gflags.h>

#include <chrono>
#include <cstdio>
#include <string>
#include <vector>

DEFINE_uint64(rankings, 100000, "rankings measured for each number of servers");
DEFINE_uint64(attempts, 8, "ranks requested per ranking");

namespace radishflow {

static std::vector<placement_server> makeServers(std::size_t count)
{
    std::vector<placement_server> servers;
    for (std::size_t i = 0; i < count; ++i)
        servers.push_back({ .id = server_id { "10.0.0." + std::to_string(i) + ":8000" }, .region = region_id { "r" + std::to_string(i % 3) } });
    return servers;
}

static double nanosecondsPerRank(std::size_t count)
{
    const std::vector<placement_server> servers = makeServers(count);
    placement_request request { .region = region_id { "r0" } };
    std::uint64_t sum = 0;
    const auto start = std::chrono::steady_clock::now();
    for (std::uint64_t i = 0; i < FLAGS_rankings; ++i) {
        request.chatHash = mixBits(i + 1);
        sum += bounded_rendezvous {}.rank(request, servers, FLAGS_attempts).front();
    }
    const std::chrono::duration<double, std::nano> elapsed = std::chrono::steady_clock::now() - start;
    // Uses the sum, so that the compiler can't remove the loop.
    return sum == ~std::uint64_t { 0 } ? 0 : elapsed.count() / static_cast<double>(FLAGS_rankings);
}

} // namespace radishflow

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    for (const std::size_t count : { 20, 100, 1300 })
        std::printf("%5zu servers: %8.0f ns per rank\n", count, radishflow::nanosecondsPerRank(count));
    return 0;
}
