// Tests the order in which owners are count.
#include "radishflow/Placement/probe_sequence.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>
#include <string>
#include <vector>

using namespace radishflow;
namespace data = boost::unit_test::data;

namespace {

struct sequence_case {
    const char* name;
    server_ranking ranking;
    std::vector<owner_refusal> refusals; ///< Refusals of the first attempts; later ones are refused as full.
    std::string attempts; ///< "h3" is an attempt at server 3 that requires the prefix, "t3" one that does not, "t3<4"
                          ///< one that names server 4 as the holder.
};

std::ostream& operator<<(std::ostream& out, const sequence_case& example)
{
    return out << example.name;
}

const owner_refusal full { .hasRoom = false, .load = 1 };
const owner_refusal fullHolder { .hasRoom = false, .load = 1, .held = prefix_state::Held };
const owner_refusal fullLikely { .hasRoom = false, .load = 1, .held = prefix_state::Likely };
const owner_refusal halfFull { .hasRoom = true, .load = 0.5 };
const owner_refusal idle { .hasRoom = true, .load = 0 };

const std::vector<sequence_case> sequenceCases {
    { "no server", {}, {}, "" },
    { "one server", { 4 }, { idle }, "h4 t4 " },
    { "both full", { 4, 2, 7, 1 }, { full, full }, "h4 h2 t7 t1 " },
    { "first has more room", { 4, 2, 7 }, { idle, halfFull }, "h4 h2 t4 t2 t7 " },
    { "second has more room", { 4, 2, 7 }, { halfFull, idle }, "h4 h2 t2 t4 t7 " },
    { "equal room", { 4, 2, 7 }, { idle, idle }, "h4 h2 t4 t2 t7 " },
    { "full holder", { 4, 2, 7 }, { fullHolder, halfFull }, "h4 h2 t2<4 t7<4 " },
    { "full holder at the second", { 4, 2, 7 }, { full, fullLikely }, "h4 h2 t7<2 " },
    { "two full holders", { 4, 2, 7 }, { fullLikely, fullHolder }, "h4 h2 t7<4 " },
    { "only the second has room", { 4, 2, 7 }, { full, halfFull }, "h4 h2 t2 t7 " },
};

} // namespace

BOOST_DATA_TEST_CASE(attemptsFollowTheRefusals, data::make(sequenceCases), example)
{
    probe_sequence sequence { example.ranking };
    std::string attempts;
    std::size_t count = 0;
    while (const auto attempt = sequence.next()) {
        attempts += (attempt->onlyIfHeld ? "h" : "t") + std::to_string(attempt->server) + (attempt->holder ? "<" + std::to_string(*attempt->holder) : "") + " ";
        sequence.recordRefusal(count < example.refusals.size() ? example.refusals[count] : full);
        ++count;
    }
    BOOST_TEST(attempts == example.attempts);
}

BOOST_DATA_TEST_CASE(conditionalAttemptNeedsHeldOrLikelyPrefix, data::make({ 0, 1, 2, 3 }), state)
{
    const auto held = static_cast<prefix_state>(state);
    BOOST_TEST(acceptsAttempt({ .onlyIfHeld = true }, held) == (held == prefix_state::Held || held == prefix_state::Likely));
    BOOST_TEST(acceptsAttempt({ .onlyIfHeld = false }, held));
}
