// Tests what a crash of a server shows about a request whose response had made progress there.
#include "radishflow/Relay/crash_quarantine.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <cstdint>
#include <memory>
#include <ostream>
#include <string>
#include <thread>
#include <vector>

using namespace radishflow;
using namespace std::chrono_literals;

namespace {

struct crash_case {
    const char* name;
    response_progress progress;
    bool isAbandoned; ///< The relay no longer awaited the response.
    int crashes;
    bool isQuarantined;
    bool hasSuspectParts;

    friend std::ostream& operator<<(std::ostream& out, const crash_case& testCase) { return out << testCase.name; }
};

const crash_case cases[] {
    { "two crashes at the beginning of a response", response_progress::None, false, 2, true, true },
    { "two crashes at the beginning of an abandoned one", response_progress::None, true, 2, true, true },
    { "two crashes after progress", response_progress::Steady, false, 2, false, false },
    { "two crashes after progress of an abandoned one", response_progress::Steady, true, 2, false, false },
    { "four crashes after progress", response_progress::Steady, false, 4, false, false },
    { "five crashes after progress", response_progress::Steady, false, 5, true, false },
    { "five crashes after progress of an abandoned one", response_progress::Steady, true, 5, true, false },
};

} // namespace

// Guards against refusals of streams, and of their prompt parts, that had run for seconds when their servers crashed.
BOOST_DATA_TEST_CASE(progressExoneratesARequest, boost::unit_test::data::make(cases), testCase)
{
    const request_identity request { .content = { .high = 1, .low = 2 }, .sharedParts = { 7 } };
    crash_quarantine crashes;
    crash_quarantine other;
    for (int number = 0; number < testCase.crashes; ++number) {
        const listed_server server { .id = server_id { "i-" + std::to_string(number) }, .service = service_id { "s" }, .address = "10.0.0.1:80", .zone = zone_id { "z" }, .processStartMs = 1 };
        if (testCase.isAbandoned) {
            crashes.recordAbandoned(request, server, testCase.progress);
            crashes.recordCrash(server);
        } else {
            crashes.recordCrash(request, server, testCase.progress);
        }
    }
    other.merge(crashes.takeNewRecords());
    other.mergeParts(crashes.takeNewPartEvidence());
    for (const crash_quarantine* each : { &crashes, &other }) {
        BOOST_TEST(each->remainingQuarantine(request).has_value() == testCase.isQuarantined);
        BOOST_TEST(each->hasSuspectParts(request) == testCase.hasSuspectParts);
    }
}

namespace {

/// A request at the servers of a zone which all restart, at one daemon after the other.
struct zone_case {
    const char* name;
    int restarts;
    int servers;
    duration interval; ///< Between the restarts.
    bool isQuarantined;

    friend std::ostream& operator<<(std::ostream& out, const zone_case& testCase) { return out << testCase.name; }
};

const zone_case zoneCases[] {
    { "the zone restarts once", 1, 2, 5s, false },
    { "a large zone restarts once", 1, 20, 5s, false },
    { "the zone restarts twice", 2, 2, 5s, true },
    { "both restarts are one", 2, 2, 1s, false },
};

std::shared_ptr<const server_list> zoneOf(int servers, std::int64_t processStartMs)
{
    constexpr auto listedAge = 2s; ///< Longer than other servers of the zone may follow.
    auto list = std::make_shared<server_list>();
    for (int number = 0; number < servers; ++number) {
        const server_id id { "i-" + std::to_string(number) };
        list->servers.emplace(id, listed_server { .id = id, .service = service_id { "s" }, .address = id.value(), .zone = zone_id { "z" }, .listedAt = boottime_clock {}.now() - listedAge, .processStartMs = processStartMs });
    }
    return list;
}

} // namespace

// Guards against a request that is never refused, since it crashes all servers of a zone each time, which looks like a loss of power.
BOOST_DATA_TEST_CASE(requestAtRepeatedRestartsOfAZoneIsQuarantined, boost::unit_test::data::make(zoneCases), testCase)
{
    const request_identity request { .content = { .high = 1, .low = 2 }, .sharedParts = { 7 } };
    std::vector<crash_record> shared;
    for (int restart = 0; restart < testCase.restarts; ++restart) {
        crash_quarantine crashes; // Of the daemon that received the request this time.
        for (crash_record& record : shared)
            record.remaining -= testCase.interval;
        crashes.merge(shared);
        crashes.takeNewRecords();
        const auto former = zoneOf(testCase.servers, 1 + restart);
        for (const auto& [id, server] : former->servers)
            crashes.recordAbandoned(request, server);
        crashes.applyServerList(zoneOf(testCase.servers, 2 + restart), boottime_clock {}.now());
        const auto added = crashes.takeNewRecords();
        shared.insert(shared.end(), added.begin(), added.end());
    }
    crash_quarantine other;
    other.merge(shared);
    BOOST_TEST(other.remainingQuarantine(request).has_value() == testCase.isQuarantined);
    BOOST_TEST(!other.hasSuspectParts(request));
}

// Guards against other daemons that take a crash for a planned exit, since the time for which the record waited makes the crash seem later.
BOOST_AUTO_TEST_CASE(recordsAreAgedWhileTheyWaitToBeSent)
{
    constexpr auto wait = 50ms;
    const request_identity request { .content = { .high = 1, .low = 2 } };
    crash_quarantine crashes;
    crashes.recordCrash(request, listed_server { .id = server_id { "i" }, .service = service_id { "s" }, .address = "10.0.0.1:80", .zone = zone_id { "z" }, .processStartMs = 1 });
    std::this_thread::sleep_for(wait);
    crashes.merge({}); // Own records wait in another list from here on.
    std::this_thread::sleep_for(wait);
    const auto records = crashes.takeNewRecords();
    BOOST_REQUIRE(records.size() == 1U);
    BOOST_TEST((records.front().remaining <= crash_quarantine::retention - 2 * wait));
}
