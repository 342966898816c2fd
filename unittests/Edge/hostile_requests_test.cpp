// Tests that each malformed request gets problem details that say it was not run, and never reaches a handler.
#include "test_edge.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>
#include <vector>

using namespace radishflow;

struct refused_case {
    std::string name;
    std::string bytes;
    int status = 400;
    bool isHalfClosed = false;

    friend std::ostream& operator<<(std::ostream& out, const refused_case& value) { return out << value.name; }
};

static std::string repeated(const std::string& text, int times)
{
    std::string all;
    for (int index = 0; index < times; ++index)
        all += text;
    return all;
}

static const std::vector<refused_case> refusedCases {
    { "method too long", std::string(40, 'A') + " / HTTP/1.1\r\n\r\n" },
    { "no version", "GET /\r\n\r\n" },
    { "garbage", "\x01\x02\x03\xff\xfe\r\n\r\n" },
    { "head cut short", "GET /healthz HTTP/1.1\r\nHos", 400, true },
    { "head cut short in a value", "GET /healthz HTTP/1.1\r\nHost: a", 400, true },
    { "head cut short before its empty line", "GET /healthz HTTP/1.1\r\nHost: a\r\n", 400, true },
    { "too many fields", "GET / HTTP/1.1\r\n" + repeated("A: b\r\n", 200) + "\r\n" },
    { "field too long", "GET / HTTP/1.1\r\nA: " + std::string(9000, 'b') + "\r\n\r\n" },
    { "fields too large", "GET / HTTP/1.1\r\n" + repeated("A: " + std::string(4000, 'b') + "\r\n", 10) + "\r\n", 431 },
    { "target too long", "GET /" + std::string(20000, 'b') + " HTTP/1.1\r\n\r\n" },
    { "target without slash", "GET http://a/ HTTP/1.1\r\n\r\n" },
    { "target not ASCII", "GET /\xc3\xa4 HTTP/1.1\r\n\r\n" },
    { "version not known", "GET / HTTP/2.0\r\n\r\n", 505 },
    { "method not known", "BREW / HTTP/1.1\r\n\r\n", 501 },
    { "method not allowed", "GET /v1/chat/completions HTTP/1.1\r\n\r\n", 405 },
    { "priority out of range", modelCall("Priority: u=8\r\n") },
    { "priority of two digits", modelCall("Priority: u=12\r\n") },
    { "priority without number", modelCall("Priority: u=\r\n") },
    { "priority not known", modelCall("Priority: high\r\n") },
    { "timeout not a number", modelCall("X-Timeout-Ms: soon\r\n") },
    { "timeout zero", modelCall("X-Timeout-Ms: 0\r\n") },
    { "timeout with rest", modelCall("X-Timeout-Ms: 10s\r\n") },
    { "event negative", modelCall("Last-Event-ID: -1\r\n") },
    { "event too large", modelCall("Last-Event-ID: 99999999999999999999\r\n") },
    { "chat too long", modelCall("X-Chat: " + std::string(201, 'c') + "\r\n") },
    { "chat not ASCII", modelCall("X-Chat: \xe4\r\n") },
    { "chat with a byte that POCO takes for the end", modelCall("X-Chat: \xff\r\n") },
    { "body too large", "POST /services/a/b HTTP/1.1\r\nContent-Length: 5000\r\n\r\n", 413 },
    { "body too large and sent", "POST /services/a/b HTTP/1.1\r\nContent-Length: 500000\r\n\r\n" + std::string(500000, 'x'), 413 },
    { "body cut short", "POST /services/a/b HTTP/1.1\r\nContent-Length: 10\r\n\r\nabc", 400, true },
    { "length not a number", "POST /services/a/b HTTP/1.1\r\nContent-Length: ten\r\n\r\n" },
    { "length negative", "POST /services/a/b HTTP/1.1\r\nContent-Length: -1\r\n\r\n" },
    { "length with sign", "POST /services/a/b HTTP/1.1\r\nContent-Length: +3\r\n\r\nabc" },
    { "two lengths", "POST /services/a/b HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd" },
    { "chunked", "POST /services/a/b HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", 411 },
    { "length and chunked", "POST /services/a/b HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", 411 },
};

BOOST_DATA_TEST_CASE(malformedRequestIsRefusedAsNotRun, boost::unit_test::data::make(refusedCases), refused)
{
    const test_edge edge { { .bodyLimitBytes = 4096 } };
    const std::string answer = edge.call(refused.bytes, refused.isHalfClosed);
    BOOST_TEST(answer.starts_with("HTTP/1.1 " + std::to_string(refused.status) + ' '), answer);
    BOOST_TEST(answer.find("application/problem+json") != std::string::npos, answer);
    BOOST_TEST(answer.find("\"execution\":\"not_run\"") != std::string::npos, answer);
    BOOST_TEST(answer.find("HTTP/1.1", 1) == std::string::npos, answer);
    BOOST_TEST(answer.find(" OK\r\n") == std::string::npos, answer);
    BOOST_TEST(edge.handled() == 0);
}

struct accepted_case {
    std::string name;
    std::string bytes;
    std::string end;

    friend std::ostream& operator<<(std::ostream& out, const accepted_case& value) { return out << value.name; }
};

static const std::vector<accepted_case> acceptedCases {
    { "priority with incremental", modelCall("Priority: u=1, i\r\n"), "echo {}" },
    { "priority incremental only", modelCall("Priority: i\r\n"), "echo {}" },
    { "no body", "POST /services/a/b HTTP/1.1\r\nConnection: close\r\n\r\n", "echo " },
    { "largest body", modelCall("", std::string(4096, 'x')), std::string(4096, 'x') },
    { "expects continue", modelCall("Expect: 100-continue\r\n"), "echo {}" },
    { "page", "GET /healthz?a=%41 HTTP/1.1\r\nConnection: close\r\n\r\n", "page /healthz" },
};

BOOST_DATA_TEST_CASE(ordinaryRequestIsServed, boost::unit_test::data::make(acceptedCases), accepted)
{
    const test_edge edge { { .bodyLimitBytes = 4096 } };
    const std::string answer = edge.call(accepted.bytes);
    BOOST_TEST(answer.find("HTTP/1.1 200 OK") != std::string::npos, answer);
    BOOST_TEST(answer.ends_with(accepted.end), answer);
}

BOOST_AUTO_TEST_CASE(pipelinedRequestsAreAnsweredInTheirOrder)
{
    const test_edge edge;
    const std::string first = "POST /services/a/b HTTP/1.1\r\nContent-Length: 3\r\n\r\none";
    const std::string answer = edge.call(first + "GET /two HTTP/1.1\r\n\r\n" + modelCall("", "three"));
    const std::size_t one = answer.find("echo one");
    const std::size_t two = answer.find("page /two");
    const std::size_t three = answer.find("echo three");
    BOOST_TEST(one < two);
    BOOST_TEST(two < three);
    BOOST_TEST(three != std::string::npos);
    BOOST_TEST(edge.handled() == 3);
}

BOOST_AUTO_TEST_CASE(nothingIsReadAfterARefusedRequest)
{
    const test_edge edge { { .bodyLimitBytes = 16 } };
    const std::string hidden = "POST /services/a/b HTTP/1.1\r\nContent-Length: 2\r\n\r\nxx";
    const std::string answer = edge.call("POST /services/a/b HTTP/1.1\r\nContent-Length: " + std::to_string(hidden.size()) + "\r\n\r\n" + hidden);
    BOOST_TEST(answer.starts_with("HTTP/1.1 413 "), answer);
    BOOST_TEST(edge.handled() == 0);
}
