// Implements `radishflow zone`.
#include "daemon_pages.h"

#include <iostream>

namespace radishflow {

// One daemon is enough, since the change spreads from it; the next is asked only when one doesn't answer.
exit_code runZone(const command_options& options, const std::vector<std::string>& arguments)
{
    if (arguments.size() != 2 || (arguments[0] != "out" && arguments[0] != "in")) {
        std::cerr << "radishflow: usage: radishflow zone out|in ZONE\n";
        return exit_code::Usage;
    }
    return valueOr(
        [&]() -> result<exit_code> {
            BOOST_LEAF_AUTO(addresses, daemonAddresses(options));
            failure last { .code = failure_code::NotFound, .step = "find a daemon", .peer = options.platform };
            for (const std::string& address : addresses) {
                const bool isDone = valueOr(
                    [&]() -> result<bool> {
                        BOOST_LEAF_AUTO(page, askDaemon(address, "POST", "/v1/operator/zones?zone=" + arguments[1] + "&state=" + arguments[0]));
                        page->stringify(std::cout);
                        std::cout << '\n';
                        return true;
                    },
                    [&](const failure& error) {
                        last = error;
                        return false;
                    });
                if (isDone)
                    return exit_code::Done;
            }
            return fail(last);
        },
        reportFailure);
}

} // namespace radishflow
