// Tests that a body counts as complete only if its framing says so, and that ambiguous framing is rejected.
#include "radishflow/Requests/body_decoder.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>
#include <string>

using namespace radishflow;

namespace {

using decoder_state = body_decoder::state;

struct body_case {
    const char* name;
    header_fields fields;
    std::string bytes;
    decoder_state expected;
    std::string body;
    std::string rest;
};

std::ostream& operator<<(std::ostream& out, const body_case& each) { return out << each.name; }

const header_fields chunked { .all = { { "Transfer-Encoding", "chunked" } } };

const body_case bodies[] {
    { "length", { { { "Content-Length", "3" } } }, "abcdef", decoder_state::Complete, "abc", "def" },
    { "length, truncated", { { { "Content-Length", "4" } } }, "abc", decoder_state::Reading, "abc", "" },
    { "length zero", { { { "Content-Length", "0" } } }, "x", decoder_state::Complete, "", "x" },
    { "chunks", chunked, "3\r\nabc\r\n2;x=y\r\nde\r\n0\r\n\r\nnext", decoder_state::Complete, "abcde", "next" },
    { "chunks with trailer", chunked, "1\r\na\r\n0\r\nT: v\r\n\r\n", decoder_state::Complete, "a", "" },
    { "chunks with trailers and more", chunked, "1\r\na\r\n0\r\nT: v\r\nU:\r\n\r\nnext", decoder_state::Complete, "a", "next" },
    { "control byte in a chunk extension", chunked, "1;x\x01\r\na\r\n0\r\n\r\n", decoder_state::Malformed, "", "" },
    { "bare line feed in a chunk extension", chunked, "1;x\na\r\n0\r\n\r\n", decoder_state::Malformed, "", "" },
    { "trailer with a blank in its name", chunked, "1\r\na\r\n0\r\nT u: v\r\n\r\n", decoder_state::Malformed, "a", "" },
    { "trailer with a blank behind its name", chunked, "1\r\na\r\n0\r\nT : v\r\n\r\n", decoder_state::Malformed, "a", "" },
    { "folded trailer", chunked, "1\r\na\r\n0\r\nT: v\r\n w\r\n\r\n", decoder_state::Malformed, "a", "" },
    { "trailer with a control byte in its name", chunked, "1\r\na\r\n0\r\nT\x01: v\r\n\r\n", decoder_state::Malformed, "a", "" },
    { "trailer with a control byte in its value", chunked, "1\r\na\r\n0\r\nT: \x01\r\n\r\n", decoder_state::Malformed, "a", "" },
    { "trailer without a colon", chunked, "1\r\na\r\n0\r\nHTTP/1.1 200 OK\r\n\r\n", decoder_state::Malformed, "a", "" },
    { "chunks, last chunk missing", chunked, "3\r\nabc\r\n", decoder_state::Reading, "abc", "" },
    { "chunks, truncated in the size", chunked, "3\r\nabc\r\n1", decoder_state::Reading, "abc", "1" },
    { "chunk too long", chunked, "2\r\nabc\r\n", decoder_state::Malformed, "ab", "" },
    { "size is not a number", chunked, "g\r\n", decoder_state::Malformed, "", "" },
    { "negative size", chunked, "-1\r\n", decoder_state::Malformed, "", "" },
    { "until the end of the connection", {}, "abc", decoder_state::Reading, "abc", "" },
};

struct framing_case {
    const char* name;
    header_fields fields;
};

std::ostream& operator<<(std::ostream& out, const framing_case& each) { return out << each.name; }

const framing_case ambiguousFramings[] {
    { "length and chunks", { { { "Content-Length", "3" }, { "Transfer-Encoding", "chunked" } } } },
    { "two lengths", { { { "Content-Length", "3" }, { "Content-Length", "4" } } } },
    { "two equal lengths", { { { "Content-Length", "3" }, { "Content-Length", "3" } } } },
    { "length is not a number", { { { "Content-Length", "3x" } } } },
    { "signed length", { { { "Content-Length", "+3" } } } },
    { "other encoding", { { { "Transfer-Encoding", "gzip, chunked" } } } },
    { "two encodings", { { { "Transfer-Encoding", "chunked" }, { "Transfer-Encoding", "identity" } } } },
};

response_head responseWith(const header_fields& fields, int status = 200)
{
    return { .status = status, .fields = fields };
}

} // namespace

BOOST_DATA_TEST_CASE(bodyInOnePieceIsDecoded, boost::unit_test::data::make(bodies), each)
{
    auto decoder = body_decoder::forResponse(responseWith(each.fields), false);
    std::string input = each.bytes;
    std::string output;
    BOOST_TEST((decoder->feed(input, output) == each.expected));
    BOOST_TEST(output == each.body);
    if (each.expected != decoder_state::Malformed)
        BOOST_TEST(input == each.rest);
}

BOOST_DATA_TEST_CASE(bodyReceivedByteByByteIsDecoded, boost::unit_test::data::make(bodies), each)
{
    auto decoder = body_decoder::forResponse(responseWith(each.fields), false);
    std::string input;
    std::string output;
    decoder_state state = decoder->feed(input, output);
    for (const char byte : each.bytes) {
        input += byte;
        state = decoder->feed(input, output);
    }
    BOOST_TEST((state == each.expected));
    BOOST_TEST(output == each.body);
}

BOOST_DATA_TEST_CASE(ambiguousFramingIsRejected, boost::unit_test::data::make(ambiguousFramings), each)
{
    BOOST_TEST(!body_decoder::forRequest({ .method = "POST", .target = "/", .fields = each.fields }).has_value());
    BOOST_TEST(!body_decoder::forResponse(responseWith(each.fields), false).has_value());
}

BOOST_AUTO_TEST_CASE(onlyUnframedResponseEndsWithTheConnection)
{
    BOOST_TEST(body_decoder::forResponse(responseWith({}), false)->endsWithConnection());
    BOOST_TEST(!body_decoder::forResponse(responseWith(chunked), false)->endsWithConnection());
    BOOST_TEST(body_decoder::forResponse(responseWith({}), true)->isComplete());
    BOOST_TEST(body_decoder::forResponse(responseWith({}, 204), false)->isComplete());
    BOOST_TEST(body_decoder::forRequest({ .method = "GET", .target = "/" })->isComplete());
}
