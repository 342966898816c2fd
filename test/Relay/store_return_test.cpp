// Tests how soon a follower of the store's tables reads them once its calls succeed again.
#include "Support/wait_until.h"
#include "relay_fleet.h"
#include "store_follower.h"
#include "store_standin.h"
#include "wire_names.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <atomic>
#include <cmath>
#include <filesystem>
#include <fstream>
#include <map>
#include <ostream>
#include <regex>
#include <string>
#include <thread>
#include <unistd.h>

using namespace radishflow;
using namespace std::chrono_literals;

namespace {

constexpr auto retryDelay = 4000ms; // Much longer than the bound below; at least a quarter of it passes between two retries.
constexpr auto readingBound = 400ms;

struct return_case {
    const char* name;
    bool isHistoryDropped;

    friend std::ostream& operator<<(std::ostream& out, const return_case& testCase) { return out << testCase.name; }
};

const return_case returnCases[] {
    { "changes", false },
    { "the whole table after dropped history", true },
};

/// Follows the servers' table of a store and counts the rows and tables that it receives.
struct followed_store {
    store_standin store;
    std::atomic<int> updates = 0;
    std::atomic<int> losses = 0;
    std::atomic<int> returns = 0;
    store_follower follower { { .storeAddress = store.address(), .table = std::string { wire::serverTable }, .minRetryDelay = retryDelay, .maxRetryDelay = retryDelay },
        { .replaceTable = [this](const store_rows&) { ++updates; },
            .applyChanges = [this](const store_rows&) { ++updates; },
            .confirm = [](time_point) {},
            .handleUnreachable = [this] { ++losses; },
            .handleReachable = [] {},
            .handleRegained = [this] { ++returns; },
            .recordReading = [](const store_rows&, time_point) {} } };
};

} // namespace

BOOST_DATA_TEST_CASE(tableIsReadWithoutFurtherDelayOnceTheStoreAnswers, boost::unit_test::data::make(returnCases), testCase)
{
    followed_store followed;
    followed.store.list("i-0", "{}");
    BOOST_REQUIRE(waitUntil(5s, [&] { return followed.updates > 0; }));
    followed.store.setFault(store_fault::Busy);
    BOOST_REQUIRE(waitUntil(5s, [&] { return followed.losses > 0; }));
    const int before = followed.updates;
    if (testCase.isHistoryDropped)
        followed.store.unlistWithoutHistory("i-0");
    else
        followed.store.unlist("i-0");
    followed.store.setFault(store_fault::None);
    followed.follower.retryNow();
    BOOST_TEST(waitUntil(readingBound, [&] { return followed.updates > before; }));
    BOOST_TEST(followed.returns == 1);
}

// One table that is back while another one waits for its retry lets a daemon accept callers with an old list of servers.
BOOST_AUTO_TEST_CASE(allTablesAreReadTogetherOnceThePathToTheStoreIsBack)
{
    constexpr int daemons = 4;
    constexpr double maxDifferenceSeconds = 0.6; // An interval of refresh() and a call.
    const auto folder = std::filesystem::temp_directory_path() / ("store-return-" + std::to_string(::getpid()));
    std::filesystem::create_directories(folder);
    {
        relay_fleet fleet { { .daemons = daemons, .isProxied = true, .logFolder = folder.string() } };
        for (int number = 0; number < daemons; ++number)
            fleet.storeLink(number).set(R"({"cut":true})");
        std::this_thread::sleep_for(6s); // The delays between retries have reached their maximum.
        for (int number = 0; number < daemons; ++number)
            fleet.storeLink(number).clear();
        std::this_thread::sleep_for(4s);
    }
    for (const auto& entry : std::filesystem::directory_iterator { folder }) {
        std::ifstream log { entry.path() };
        std::map<std::string, double> regainedAt;
        const std::string operatorTable { wire::operatorTable };
        const std::string serverTable { wire::serverTable };
        const std::regex line { R"(T\d+:(\d+):([\d.]+)Z.* event=dependency_regained dependency=store table=(\w+) )" };
        for (std::string text; std::getline(log, text);) {
            std::smatch match;
            if (std::regex_search(text, match, line))
                regainedAt.try_emplace(match[3], 60 * std::stod(match[1]) + std::stod(match[2]));
        }
        BOOST_TEST_CONTEXT(entry.path().filename())
        {
            BOOST_TEST(regainedAt.contains(operatorTable));
            BOOST_TEST(regainedAt.contains(serverTable));
            BOOST_TEST(std::abs(regainedAt[operatorTable] - regainedAt[serverTable]) <= maxDifferenceSeconds);
        }
    }
    std::filesystem::remove_all(folder);
}
