// Measures the traffic and processor time of gossip at several fleet sizes. Usage: membership-benchmark [DAEMONS...]
#include "loopback_run.h"
#include "virtual_run.h"

#include <cstdlib>
#include <vector>

int main(int argc, char** argv)
{
    std::vector<std::size_t> sizes;
    for (int i = 1; i < argc; ++i)
        sizes.push_back(std::strtoul(argv[i], nullptr, 10));
    if (sizes.empty())
        sizes = { 7, 25, 50, 100, 200, 350 };
    for (const std::size_t size : sizes)
        radishflow::runVirtual(size);
    radishflow::runLoopback(7);
    radishflow::runLoopback(25);
    return 0;
}
