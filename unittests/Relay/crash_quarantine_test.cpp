// Tests what a crash of a server shows about a request whose response had made progress there.
#include "radishflow/Relay/crash_quarantine.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>
#include <string>

using namespace radishflow;

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
