// Implements `radishflow dump` and `radishflow order`.
#include "daemon_pages.h"

#include <Poco/URI.h>

#include <iostream>

namespace radishflow {

static exit_code printPage(const command_options& options, const std::string& path)
{
    return valueOr(
        [&]() -> result<exit_code> {
            BOOST_LEAF_AUTO(addresses, daemonAddresses(options));
            if (addresses.empty())
                return fail({ .code = failure_code::NotFound, .step = "find a daemon", .peer = options.platform, .detail = "the host list names none" });
            BOOST_LEAF_AUTO(page, askDaemon(addresses.front(), "GET", path));
            page->stringify(std::cout, 2);
            std::cout << '\n';
            return exit_code::Done;
        },
        reportFailure);
}

exit_code runDump(const command_options& options, const std::vector<std::string>&)
{
    return printPage(options, "/debug/state");
}

exit_code runOrder(const command_options& options, const std::vector<std::string>& arguments)
{
    if (arguments.size() != 2) {
        std::cerr << "radishflow: order needs a workspace and a key\n";
        return exit_code::Usage;
    }
    std::string path = "/v1/orders?workspace=";
    Poco::URI::encode(arguments[0], "&=+", path);
    path += "&key=";
    Poco::URI::encode(arguments[1], "&=+", path);
    return printPage(options, path);
}

} // namespace radishflow
