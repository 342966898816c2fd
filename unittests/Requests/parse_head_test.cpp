// Tests that valid heads are parsed, and that heads which other implementations could read differently are rejected.
#include "radishflow/Requests/parse_head.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>
#include <string>

using namespace radishflow;

namespace {

struct head_case {
    const char* name;
    std::string text;
    parse_state expected;
};

std::ostream& operator<<(std::ostream& out, const head_case& each) { return out << each.name; }

const head_case requestHeads[] {
    { "plain", "GET /a?b=c HTTP/1.1\r\nHost: x\r\n\r\n", parse_state::Complete },
    { "no fields", "GET / HTTP/1.0\r\n\r\n", parse_state::Complete },
    { "truncated", "GET / HTTP/1.1\r\nHost: x\r\n", parse_state::Incomplete },
    { "empty", "", parse_state::Incomplete },
    { "bare line feeds", "GET / HTTP/1.1\nHost: x\n\r\n\r\n", parse_state::Malformed },
    { "folded line", "GET / HTTP/1.1\r\nHost: x\r\n y\r\n\r\n", parse_state::Malformed },
    { "space before colon", "GET / HTTP/1.1\r\nHost : x\r\n\r\n", parse_state::Malformed },
    { "no colon", "GET / HTTP/1.1\r\nHost\r\n\r\n", parse_state::Malformed },
    { "bare carriage return", "GET / HTTP/1.1\r\nA: x\ry\r\n\r\n", parse_state::Malformed },
    { "zero byte", std::string { "GET / HTTP/1.1\r\nA: x" } + '\0' + "y\r\n\r\n", parse_state::Malformed },
    { "two spaces", "GET  / HTTP/1.1\r\n\r\n", parse_state::Malformed },
    { "other version", "GET / HTTP/2.0\r\n\r\n", parse_state::Malformed },
    { "no target", "GET HTTP/1.1\r\n\r\n", parse_state::Malformed },
    { "byte 0xFF in a value", "GET / HTTP/1.1\r\nA: \xff\r\nB: c\r\n\r\n", parse_state::Complete },
    { "large", "GET / HTTP/1.1\r\nA: " + std::string(300, 'x') + "\r\n\r\n", parse_state::TooLarge },
    { "large without end", std::string(300, 'x'), parse_state::TooLarge },
};

const head_case responseHeads[] {
    { "plain", "HTTP/1.1 200 OK\r\nA: b\r\n\r\n", parse_state::Complete },
    { "no reason", "HTTP/1.1 200\r\n\r\n", parse_state::Complete },
    { "three words", "HTTP/1.1 503 Service Unavailable\r\n\r\n", parse_state::Complete },
    { "not a response", "event: data\r\n\r\n", parse_state::Malformed },
    { "no number", "HTTP/1.1 2x0 OK\r\n\r\n", parse_state::Malformed },
    { "number too large", "HTTP/1.1 999 OK\r\n\r\n", parse_state::Malformed },
    { "no space", "HTTP/1.1 200OK\r\n\r\n", parse_state::Malformed },
    { "number 000", "HTTP/1.1 000 OK\r\n\r\n", parse_state::Malformed },
    { "number 000, no reason", "HTTP/1.1 000\r\n\r\n", parse_state::Malformed },
    { "number 099", "HTTP/1.1 099 OK\r\n\r\n", parse_state::Malformed },
    { "signed number", "HTTP/1.1 +20 OK\r\n\r\n", parse_state::Malformed },
    { "negative number", "HTTP/1.1 -20 OK\r\n\r\n", parse_state::Malformed },
    { "blank in a name", "HTTP/1.1 200 OK\r\nX Note: b\r\n\r\n", parse_state::Malformed },
    { "blank behind a name", "HTTP/1.1 200 OK\r\nContent-Length : 1\r\n\r\n", parse_state::Malformed },
    { "blank before a name", "HTTP/1.1 200 OK\r\n Content-Length: 1\r\n\r\n", parse_state::Malformed },
    { "tab in a name", "HTTP/1.1 200 OK\r\nX\tNote: b\r\n\r\n", parse_state::Malformed },
    { "control byte in a name", "HTTP/1.1 200 OK\r\nX\x01Note: b\r\n\r\n", parse_state::Malformed },
    { "zero byte in a name", std::string { "HTTP/1.1 200 OK\r\nX" } + '\0' + "Note: b\r\n\r\n", parse_state::Malformed },
    { "delete in a name", "HTTP/1.1 200 OK\r\nX\x7fNote: b\r\n\r\n", parse_state::Malformed },
    { "line feed in a name", "HTTP/1.1 200 OK\r\nX\nNote: b\r\n\r\n", parse_state::Malformed },
    { "name without letters", "HTTP/1.1 200 OK\r\n: b\r\n\r\n", parse_state::Malformed },
    { "byte 0xFF and a tab in the reason", "HTTP/1.1 200 O\xff\tK\r\n\r\n", parse_state::Complete },
    { "control byte in the reason", "HTTP/1.1 200 O\x01K\r\n\r\n", parse_state::Malformed },
    { "zero byte in the reason", std::string { "HTTP/1.1 200 O" } + '\0' + "K\r\n\r\n", parse_state::Malformed },
    { "field behind a bare line feed", "HTTP/1.1 200 OK\nContent-Length: 1\r\n\r\n", parse_state::Malformed },
    { "field behind a bare carriage return", "HTTP/1.1 200 OK\rContent-Length: 1\r\n\r\n", parse_state::Malformed },
};

constexpr std::size_t maxBytes = 200;

} // namespace

BOOST_DATA_TEST_CASE(requestHeadsAreParsedStrictly, boost::unit_test::data::make(requestHeads), each)
{
    request_head head;
    std::size_t length = 0;
    BOOST_TEST((parseRequestHead(each.text, maxBytes, head, length) == each.expected));
}

BOOST_DATA_TEST_CASE(responseHeadsAreParsedStrictly, boost::unit_test::data::make(responseHeads), each)
{
    response_head head;
    std::size_t length = 0;
    BOOST_TEST((parseResponseHead(each.text, maxBytes, head, length) == each.expected));
}

BOOST_AUTO_TEST_CASE(bytesAfterTheHeadAreNotConsumed)
{
    const std::string text = "POST /a HTTP/1.1\r\nHost:  x y\t\r\nhost: z\r\n\r\nrest";
    request_head head;
    std::size_t length = 0;
    BOOST_REQUIRE((parseRequestHead(text, maxBytes, head, length) == parse_state::Complete));
    BOOST_TEST(text.substr(length) == "rest");
    BOOST_TEST(*head.fields.find("HOST") == "x y");
    BOOST_TEST(head.fields.count("Host") == 2U);
}

BOOST_AUTO_TEST_CASE(hopByHopFieldsAndConnectionPersistenceAreDetected)
{
    const header_fields fields { .all = { { "Connection", "close, X-Mine" }, { "X-Mine", "1" }, { "X-Other", "1" } } };
    BOOST_TEST(isHopByHop(fields, "x-mine"));
    BOOST_TEST(isHopByHop(fields, "transfer-encoding"));
    BOOST_TEST(!isHopByHop(fields, "X-Other"));
    BOOST_TEST(!keepsConnection(1, fields));
    BOOST_TEST(keepsConnection(1, {}));
    BOOST_TEST(!keepsConnection(0, {}));
}
