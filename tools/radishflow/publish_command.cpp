// Implements `radishflow publish`.
#include "radishflow/Config/config_publisher.h"
#include "radishflow/Platform/platform_client.h"

#include "daemon_pages.h"
#include "in_force.h"
#include "service_file_set.h"

#include <chrono>
#include <iostream>
#include <optional>
#include <thread>
#include <utility>

namespace radishflow {

static exit_code waitInForce(const command_options& options, const std::vector<std::string>& addresses, config_version version)
{
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds { options.waitSeconds };
    in_force_count count = countInForce(addresses, version);
    while (count.inForce < count.daemons && std::chrono::steady_clock::now() < deadline) {
        std::this_thread::sleep_for(std::chrono::milliseconds { 100 });
        count = countInForce(addresses, version);
    }
    printCount(options, version, count);
    return count.inForce == count.daemons ? exit_code::Done : exit_code::Unknown;
}

static std::optional<std::vector<std::string>> findDaemons(const command_options& options)
{
    return valueOr(
        [&]() -> result<std::optional<std::vector<std::string>>> {
            BOOST_LEAF_AUTO(addresses, daemonAddresses(options));
            return std::optional { std::move(addresses) };
        },
        [](const failure& error) {
            std::cerr << "radishflow: can't tell where it is in force: " << describe(error) << '\n';
            return std::optional<std::vector<std::string>> {};
        });
}

exit_code runPublish(const command_options& options, const std::vector<std::string>& arguments)
{
    const auto config = readServiceFiles(arguments);
    if (!config)
        return exit_code::Usage;
    return valueOr(
        [&]() -> result<exit_code> {
            platform_client platform { platform_options { .address = options.platform } };
            config_publisher publisher { platform, platform };
            BOOST_LEAF_AUTO(before, publisher.current());
            const config_version base = options.base < 0 ? before.version : config_version { static_cast<std::uint64_t>(options.base) };
            BOOST_LEAF_AUTO(outcome, publisher.publish(*config, base));
            if (!outcome.isAccepted) {
                std::cerr << "radishflow: refused, version " << outcome.current.version.value() << " came first\n";
                return exit_code::Refused;
            }
            std::cerr << "radishflow: published version " << outcome.current.version.value() << '\n';
            if (options.waitSeconds <= 0)
                return exit_code::Done;
            // It is published whatever follows, so what fails from here on is only the count.
            const std::optional<std::vector<std::string>> addresses = findDaemons(options);
            return addresses ? waitInForce(options, *addresses, outcome.current.version) : exit_code::Unknown;
        },
        reportFailure);
}

} // namespace radishflow
