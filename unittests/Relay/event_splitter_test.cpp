// Tests that only whole events go on, each once and in order.
#include "radishflow/Relay/event_splitter.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>
#include <vector>

using namespace radishflow;

namespace {

struct stream_case {
    const char* name;
    std::vector<std::string> pieces;
    bool isInOrder;
    std::string passed;
    std::string held;
    std::uint64_t lastId;
};

std::ostream& operator<<(std::ostream& out, const stream_case& each) { return out << each.name; }

const stream_case streams[] {
    { "two events", { "id: 1\ndata: a\n\nid: 2\ndata: b\n\n" }, true, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", "", 2 },
    { "half an event is held", { "id: 1\ndata: a\n\nid: 2\nda" }, true, "id: 1\ndata: a\n\n", "id: 2\nda", 1 },
    { "halves join", { "id: 1\nda", "ta: a\n", "\nid: 2\n\n" }, true, "id: 1\ndata: a\n\nid: 2\n\n", "", 2 },
    { "carriage returns", { "id: 7\r\ndata: a\r\n\r\n" }, true, "id: 7\r\ndata: a\r\n\r\n", "", 7 },
    { "no numbers", { "data: a\n\ndata: b\n\n" }, true, "data: a\n\ndata: b\n\n", "", 0 },
    { "an event is missing", { "id: 1\n\nid: 3\n\n" }, false, "id: 1\n\n", "", 1 },
    { "an event comes twice", { "id: 1\n\n", "id: 1\n\n" }, false, "id: 1\n\n", "", 1 },
    { "number can't be read", { "id: x\n\n" }, false, "", "", 0 },
};

} // namespace

BOOST_DATA_TEST_CASE(eventsArePassedOnWhole, boost::unit_test::data::make(streams), each)
{
    event_splitter splitter;
    std::string input;
    std::string output;
    bool isInOrder = true;
    for (const std::string& piece : each.pieces) {
        input += piece;
        isInOrder = isInOrder && splitter.feed(input, output);
    }
    BOOST_TEST(isInOrder == each.isInOrder);
    BOOST_TEST(output == each.passed);
    BOOST_TEST(splitter.lastId() == each.lastId);
    if (isInOrder)
        BOOST_TEST(input == each.held);
}
