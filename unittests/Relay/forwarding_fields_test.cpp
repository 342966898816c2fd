// Tests the header fields with which daemons forward requests to each other.
#include "radishflow/Relay/forwarding_fields.h"
#include "radishflow/Requests/parse_head.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>
#include <string>
#include <vector>

using namespace radishflow;
using namespace std::chrono_literals;

namespace {

request_head parse(const std::string& text)
{
    request_head head;
    std::size_t length = 0;
    BOOST_REQUIRE((parseRequestHead(text, 65536, head, length) == parse_state::Complete));
    return head;
}

struct malformed_case {
    const char* name;
    std::string fields;

    friend std::ostream& operator<<(std::ostream& out, const malformed_case& testCase) { return out << testCase.name; }
};

const std::string validFields = "Radishflow-From: d1\r\nRadishflow-Token: t\r\nRadishflow-Config: 3\r\nRadishflow-Time-Left: 100\r\nRadishflow-May-Have-Run: 0\r\n";

const std::vector<malformed_case> malformedRequests {
    { "no fields", "" },
    { "no token", "Radishflow-From: d1\r\nRadishflow-Config: 3\r\nRadishflow-Time-Left: 100\r\nRadishflow-May-Have-Run: 0\r\n" },
    { "time left is no number", "Radishflow-From: d1\r\nRadishflow-Token: t\r\nRadishflow-Config: 3\r\nRadishflow-Time-Left: soon\r\nRadishflow-May-Have-Run: 0\r\n" },
    { "negative time left", "Radishflow-From: d1\r\nRadishflow-Token: t\r\nRadishflow-Config: 3\r\nRadishflow-Time-Left: -1\r\nRadishflow-May-Have-Run: 0\r\n" },
    { "attempts beyond any number", "Radishflow-From: d1\r\nRadishflow-Token: t\r\nRadishflow-Config: 3\r\nRadishflow-Time-Left: 1\r\nRadishflow-May-Have-Run: 99999999999999999999\r\n" },
};

} // namespace

BOOST_AUTO_TEST_CASE(forwardedRequestKeepsWhatItsCallerSent)
{
    const request_head original = parse("POST /a?b=c HTTP/1.1\r\nHost: h\r\nX-Key: k\r\nConnection: keep-alive\r\nContent-Length: 3\r\nLast-Event-Id: 4\r\n\r\n");
    const forwarded_request sent { .from = daemon_id { "d1" }, .token = "t", .config = config_version { 3 }, .timeLeft = 250ms, .mayHaveRun = 1, .triedServers = { server_id { "i-1" }, server_id { "i-2" } }, .resumeAfter = 17, .version = version_key { 99 } };
    request_head received = parse(writeForwardedHead(original, 3, sent));
    const auto read = readForwardedRequest(received.fields);
    BOOST_REQUIRE(read.has_value());
    BOOST_TEST(read->from.value() == "d1");
    BOOST_TEST(read->token == "t");
    BOOST_TEST(read->config.value() == 3U);
    BOOST_TEST(read->timeLeft.count() == 250);
    BOOST_TEST(read->mayHaveRun == 1);
    BOOST_TEST((read->triedServers == sent.triedServers));
    BOOST_TEST((read->resumeAfter == sent.resumeAfter));
    BOOST_TEST((read->version == sent.version));
    removeForwardingFields(received.fields);
    BOOST_TEST(received.target == original.target);
    BOOST_TEST(received.fields.all.size() == 4U);
    for (const char* field : { "Host", "X-Key", "Content-Length", "Last-Event-Id" })
        BOOST_TEST(*received.fields.find(field) == *original.fields.find(field));
}

BOOST_DATA_TEST_CASE(malformedForwardedRequestsAreNotRead, boost::unit_test::data::make(malformedRequests), testCase)
{
    BOOST_TEST(readForwardedRequest(parse("GET / HTTP/1.1\r\n" + validFields + "\r\n").fields).has_value());
    BOOST_TEST(!readForwardedRequest(parse("GET / HTTP/1.1\r\n" + testCase.fields + "\r\n").fields).has_value());
}

BOOST_AUTO_TEST_CASE(responseStatesItsServerOrWhyThereIsNone)
{
    const auto read = [](const forwarded_response& response) { return readForwardedResponse(parse("GET / HTTP/1.1\r\n" + writeForwardedFields(response) + "\r\n").fields); };
    const forwarded_response served = read({ .request = request_id { "r" }, .server = server_id { "i-1" }, .version = version_key { 5 } });
    BOOST_TEST(served.request.value() == "r");
    BOOST_TEST(served.server.value() == "i-1");
    BOOST_TEST((served.version == version_key { 5 }));
    BOOST_TEST(!served.execution.has_value());
    for (const refusal_scope scope : { refusal_scope::Access, refusal_scope::Slots, refusal_scope::Capacity, refusal_scope::Request }) {
        const forwarded_response refused = read({ .request = request_id { "r" }, .execution = execution_state::NotRun, .scope = scope });
        BOOST_TEST((refused.execution == execution_state::NotRun));
        BOOST_TEST((refused.scope == scope));
    }
    BOOST_TEST((read({ .execution = execution_state::Unknown }).execution == execution_state::Unknown));
}
