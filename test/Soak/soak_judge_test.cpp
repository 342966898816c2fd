// Tests that the soak's plan is drawn as promised and that its judge finds each broken promise.
#include "soak_judge.h"
#include "soak_plan.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <functional>
#include <ostream>
#include <set>

using namespace radishflow;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_CASE(planFollowsFromItsSeedAndEndsInTime)
{
    std::set<soak_fault> drawn;
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        const std::vector<soak_step> plan = drawPlan({ .seed = seed });
        const std::vector<soak_step> again = drawPlan({ .seed = seed });
        BOOST_REQUIRE(plan.size() == again.size());
        BOOST_TEST(plan.size() >= 5U);
        for (std::size_t step = 0; step < plan.size(); ++step) {
            BOOST_TEST((plan[step].at == again[step].at && plan[step].fault == again[step].fault && plan[step].target == again[step].target));
            BOOST_TEST((plan[step].end() <= 12000ms));
            drawn.insert(plan[step].fault);
        }
    }
    BOOST_TEST(drawn.size() == static_cast<std::size_t>(soakFaultCount));
}

namespace {

/// A soak in which all went well: a read, an order and a stream on one daemon.
soak_evidence goodEvidence()
{
    soak_evidence evidence { .began = std::chrono::steady_clock::now(), .maxRevocationDelay = 2500ms, .settled = 20s };
    const auto seen = [&](const char* id, std::chrono::milliseconds at) { return received_request { .id = id, .at = evidence.began + at, .hasRun = true }; };
    evidence.seen = { { seen("a", 10s), seen("b", 10s), seen("c", 10s) } };
    std::string events;
    for (int event = 1; event <= 20; ++event)
        events += "id: " + std::to_string(event) + "\ndata: token " + std::to_string(event) + " of c\n\n";
    evidence.calls = {
        { .id = "a", .kind = soak_call_kind::Read, .begin = 10s, .end = 10100ms, .answer = { .status = 200, .isWhole = true, .body = "answer of i-0 to a" } },
        { .id = "b", .kind = soak_call_kind::Order, .begin = 10s, .end = 10100ms, .answer = { .status = 200, .isWhole = true, .body = "answer of i-0 to b" } },
        { .id = "c", .kind = soak_call_kind::Stream, .begin = 10s, .end = 10400ms, .answer = { .status = 200, .isWhole = true, .body = events } },
    };
    return evidence;
}

struct broken_case {
    const char* name;
    std::function<void(soak_evidence&)> breakIt;
    const char* told; ///< Part of the line that the judge has to give.
};

std::ostream& operator<<(std::ostream& out, const broken_case& each) { return out << each.name; }

const broken_case brokenCases[] {
    { "another's answer", [](soak_evidence& evidence) { evidence.calls[0].answer.body = "answer of i-0 to b"; }, "got another answer" },
    { "another's event", [](soak_evidence& evidence) { evidence.calls[2].answer.body.replace(evidence.calls[2].answer.body.rfind("of c"), 4, "of d"); }, "got another answer" },
    { "event left out", [](soak_evidence& evidence) { evidence.calls[2].answer.body.erase(0, evidence.calls[2].answer.body.find("id: 2")), evidence.calls[2].answer.isWhole = false; }, "got another answer" },
    { "order run twice", [](soak_evidence& evidence) { evidence.seen[0].push_back(evidence.seen[0][1]); }, "ran 2 times" },
    { "read run three times", [](soak_evidence& evidence) { evidence.seen.push_back({ evidence.seen[0][0], evidence.seen[0][0] }); }, "ran 3 times" },
    { "run denied", [](soak_evidence& evidence) { evidence.calls[1].answer.status = 503, evidence.calls[1].answer.body = R"({"execution":"not_run"})"; }, "said not to have run" },
    { "answer from nowhere", [](soak_evidence& evidence) { evidence.seen[0].clear(); }, "ran nowhere" },
    { "removed key", [](soak_evidence& evidence) { evidence.keyRemovals = { 7s }; }, "key that was taken away" },
    { "late answer", [](soak_evidence& evidence) { evidence.calls[0].end = 11500ms; }, "too late" },
    { "stop cuts a stream", [](soak_evidence& evidence) { evidence.calls[2].answer.isWhole = false, evidence.plan = { { .at = 10200ms, .length = 1s, .fault = soak_fault::StopDaemon } }; }, "cut by a planned stop" },
    { "draining server", [](soak_evidence& evidence) { evidence.plan = { { .at = 7s, .length = 4s, .fault = soak_fault::DrainServer } }; }, "which drains" },
    { "cold server", [](soak_evidence& evidence) { evidence.plan = { { .at = 9s, .length = 2s, .fault = soak_fault::CoolServer } }, evidence.seen[0].insert(evidence.seen[0].end(), 20, received_request { .id = "x", .at = evidence.began + 10s }); }, "cold since" },
    { "not served at the end", [](soak_evidence& evidence) { evidence.settled = 9s, evidence.calls[0].answer.status = 503; }, "after the last disturbance" },
    { "seen on the way", [](soak_evidence& evidence) { evidence.broken = { "daemon 0 ended by itself" }; }, "ended by itself" },
};

} // namespace

BOOST_AUTO_TEST_CASE(judgeFindsNothingInAGoodSoak)
{
    BOOST_TEST(judge(goodEvidence()).empty());
}

BOOST_DATA_TEST_CASE(judgeFindsEachBrokenPromise, boost::unit_test::data::make(brokenCases), each)
{
    soak_evidence evidence = goodEvidence();
    each.breakIt(evidence);
    const std::vector<std::string> broken = judge(evidence);
    BOOST_REQUIRE(!broken.empty());
    BOOST_TEST(broken.front().find(each.told) != std::string::npos, broken.front());
}

// What a platform's page allows while a daemon is disturbed isn't held against it.
BOOST_AUTO_TEST_CASE(judgeHeedsDisturbances)
{
    soak_evidence evidence = goodEvidence();
    evidence.calls[0].end = 13s;
    evidence.plan = { { .at = 10050ms, .length = 2s, .fault = soak_fault::PauseDaemon } };
    BOOST_TEST(judge(evidence).empty());
    evidence.plan.clear();
    BOOST_TEST(!judge(evidence).empty());
    evidence.stalls = { { .begin = 12s, .end = 12300ms } };
    BOOST_TEST(judge(evidence).empty());
    evidence.calls[2].answer.isWhole = false;
    evidence.plan.push_back({ .at = 9s, .length = 2s, .fault = soak_fault::ServerCuts });
    BOOST_TEST(judge(evidence).empty());
}
