// Tests the table in memory that other tests rely on.
#include "memory_table.h"

#include <boost/test/unit_test.hpp>

using namespace radishflow;

static bool succeeds(memory_table& table, std::int64_t expected)
{
    return valueOr([&]() -> result<bool> {
        BOOST_LEAF_AUTO(outcome, table.commit({ { .key = "k", .modRevision = expected } }, { { .key = "k", .value = "v" } }));
        return outcome.succeeded; },
        [](const failure&) { return false; });
}

BOOST_AUTO_TEST_CASE(conditionDecides)
{
    memory_table table;
    BOOST_TEST(succeeds(table, 0));
    BOOST_TEST(!succeeds(table, 0));
    BOOST_TEST(succeeds(table, 1));
}

BOOST_AUTO_TEST_CASE(lostReplyTookEffectAndLostRequestDidNot)
{
    memory_table table;
    table.loseReplies = 1;
    BOOST_TEST(!succeeds(table, 0));
    BOOST_TEST(!succeeds(table, 0));
    table.loseRequests = 1;
    BOOST_TEST(!succeeds(table, 1));
    BOOST_TEST(succeeds(table, 1));
}
