// Implements `radishflow daemons` and `radishflow servers`.
#include "daemon_pages.h"

#include <Poco/JSON/Array.h>

#include <iostream>

namespace radishflow {

static void printRows(const Poco::JSON::Array& rows, const std::vector<std::string>& columns)
{
    for (const std::string& column : columns)
        std::cout << column << '\t';
    std::cout << '\n';
    for (std::size_t row = 0; row < rows.size(); ++row) {
        for (const std::string& column : columns)
            std::cout << rows.getObject(static_cast<unsigned>(row))->get(column).toString() << '\t';
        std::cout << '\n';
    }
}

static exit_code showTable(const command_options& options, const std::string& table, const std::vector<std::string>& columns)
{
    return valueOr(
        [&]() -> result<exit_code> {
            BOOST_LEAF_AUTO(addresses, daemonAddresses(options));
            if (addresses.empty())
                return fail({ .code = failure_code::NotFound, .step = "find a daemon", .peer = options.platform, .detail = "the host list names none" });
            BOOST_LEAF_AUTO(state, askDaemon(addresses.front(), "GET", "/debug/state"));
            const auto rows = state->getArray(table);
            if (!rows)
                return fail({ .code = failure_code::Broken, .step = "show " + table, .peer = addresses.front(), .detail = "the state has no such table" });
            if (options.isJson)
                rows->stringify(std::cout, 2);
            else
                printRows(*rows, columns);
            return exit_code::Done;
        },
        reportFailure);
}

exit_code runDaemons(const command_options& options, const std::vector<std::string>&)
{
    return showTable(options, "daemons", { "name", "zone", "peer", "http", "alive", "leaving" });
}

exit_code runServers(const command_options& options, const std::vector<std::string>&)
{
    return showTable(options, "servers", { "server", "service", "zone", "owner", "takes_new_work", "running_here" });
}

} // namespace radishflow
