// Tests that only complete events are moved to the output, each once and in order of their ids.
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
    { "incomplete event is held back", { "id: 1\ndata: a\n\nid: 2\nda" }, true, "id: 1\ndata: a\n\n", "id: 2\nda", 1 },
    { "event received in pieces", { "id: 1\nda", "ta: a\n", "\nid: 2\n\n" }, true, "id: 1\ndata: a\n\nid: 2\n\n", "", 2 },
    { "carriage returns", { "id: 7\r\ndata: a\r\n\r\n" }, true, "id: 7\r\ndata: a\r\n\r\n", "", 7 },
    { "no ids", { "data: a\n\ndata: b\n\n" }, true, "data: a\n\ndata: b\n\n", "", 0 },
    { "an event is missing", { "id: 1\n\nid: 3\n\n" }, false, "id: 1\n\n", "", 1 },
    { "duplicate event", { "id: 1\n\n", "id: 1\n\n" }, false, "id: 1\n\n", "", 1 },
    { "id is not a number", { "id: x\n\n" }, false, "", "", 0 },
};

} // namespace

BOOST_DATA_TEST_CASE(completeEventsAreMovedToTheOutput, boost::unit_test::data::make(streams), each)
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
