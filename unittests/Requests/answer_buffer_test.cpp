// Tests that an answer arrives whole, visibly broken, or not at all, in bounded memory.
#include "radishflow/Requests/answer_buffer.h"

#include <boost/test/unit_test.hpp>

using namespace radishflow;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_CASE(readsInPiecesUpToTheEnd)
{
    answer_buffer buffer { 100 };
    buffer.begin(200, "text/plain");
    BOOST_TEST(buffer.append("hello", 0ms));
    buffer.finish();
    const answer_part first = buffer.read(0, 0ms, 3);
    BOOST_TEST(first.data == "hel");
    BOOST_TEST(!first.finished);
    const answer_part second = buffer.read(3, 0ms, 10);
    BOOST_TEST(second.data == "lo");
    BOOST_TEST(second.finished);
}

BOOST_AUTO_TEST_CASE(brokenAnswerIsNeverFinished)
{
    answer_buffer buffer { 100 };
    buffer.begin(200, "text/plain");
    BOOST_TEST(buffer.append("half", 0ms));
    buffer.breakOff({ .status = 502, .title = "cut" });
    buffer.finish();
    const answer_part part = buffer.read(0, 0ms, 10);
    BOOST_TEST(part.data == "half");
    BOOST_TEST(part.broken);
    BOOST_TEST(!part.finished);
    BOOST_TEST(part.refused->status == 502);
}

BOOST_AUTO_TEST_CASE(writerWaitsForASlowReader)
{
    answer_buffer buffer { 4 };
    buffer.begin(200, "text/plain");
    BOOST_TEST(buffer.append("12345", 0ms));
    BOOST_TEST(!buffer.append("6", 1ms));
    buffer.read(5, 0ms, 10);
    BOOST_TEST(buffer.append("6", 0ms));
}

BOOST_AUTO_TEST_CASE(freedOffsetIsBrokenNotWrong)
{
    answer_buffer buffer { 100 };
    buffer.begin(200, "text/plain");
    BOOST_TEST(buffer.append("abcdef", 0ms));
    buffer.read(4, 0ms, 1);
    BOOST_TEST(buffer.read(0, 0ms, 10).broken);
}

BOOST_AUTO_TEST_CASE(abandonedAnswerStopsTheWriter)
{
    answer_buffer buffer { 100 };
    buffer.abandon();
    BOOST_TEST(!buffer.append("x", 0ms));
}
