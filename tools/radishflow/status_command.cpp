// Implements `radishflow status` and the count of daemons that have a version in force.
#include "radishflow/Config/config_publisher.h"
#include "radishflow/Platform/platform_client.h"

#include "daemon_pages.h"
#include "in_force.h"

#include <iostream>

namespace radishflow {

in_force_count countInForce(const std::vector<std::string>& addresses, config_version version)
{
    in_force_count count { .daemons = static_cast<int>(addresses.size()) };
    for (const std::string& address : addresses) {
        const long seen = valueOr(
            [&]() -> result<long> {
                BOOST_LEAF_AUTO(state, askDaemon(address, "GET", "/v1/version"));
                return state->optValue<long>("config_version", -1);
            },
            [](const failure&) { return -1L; });
        if (seen < 0)
            count.silent.push_back(address);
        else if (static_cast<std::uint64_t>(seen) >= version.value())
            ++count.inForce;
    }
    return count;
}

void printCount(const command_options& options, config_version version, const in_force_count& count)
{
    if (options.isJson) {
        std::cout << "{\"version\":" << version.value() << ",\"daemons\":" << count.daemons << ",\"in_force\":" << count.inForce << ",\"silent\":" << count.silent.size() << "}\n";
        return;
    }
    std::cout << "version " << version.value() << " is in force at " << count.inForce << " of " << count.daemons << " daemons\n";
    for (const std::string& address : count.silent)
        std::cout << "can't tell for " << address << ": it did not answer\n";
}

exit_code runStatus(const command_options& options, const std::vector<std::string>&)
{
    return valueOr(
        [&]() -> result<exit_code> {
            platform_client platform { platform_options { .address = options.platform } };
            config_publisher publisher { platform, platform };
            BOOST_LEAF_AUTO(pointer, publisher.current());
            BOOST_LEAF_AUTO(addresses, daemonAddresses(options));
            const in_force_count count = countInForce(addresses, pointer.version);
            printCount(options, pointer.version, count);
            return count.silent.empty() ? exit_code::Done : exit_code::Unknown;
        },
        reportFailure);
}

} // namespace radishflow
