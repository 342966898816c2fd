// Tests that the soak's plan follows from its seed and that findViolations reports each kind of violation.
#include "find_violations.h"
#include "soak_plan.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <functional>
#include <ostream>
#include <set>

using namespace radishflow;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_CASE(planIsDeterministicAndEndsWithinFaultPeriod)
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

/// Evidence without violations: a read, an order and a stream at one daemon.
soak_evidence validEvidence()
{
    soak_evidence evidence { .began = std::chrono::steady_clock::now(), .maxRevocationDelay = 2500ms, .recoveredAt = 20s };
    const auto seen = [&](const char* id, std::chrono::milliseconds at) { return received_request { .id = id, .at = evidence.began + at, .hasRun = true }; };
    evidence.seen = { { seen("a", 10s), seen("b", 10s), seen("c", 10s) } };
    std::string events;
    for (int event = 1; event <= 20; ++event)
        events += "id: " + std::to_string(event) + "\ndata: token " + std::to_string(event) + " of c\n\n";
    evidence.calls = {
        { .id = "a", .kind = soak_call_kind::Read, .begin = 10s, .end = 10100ms, .response = { .status = 200, .isComplete = true, .body = "answer of i-0 to a" } },
        { .id = "b", .kind = soak_call_kind::Order, .begin = 10s, .end = 10100ms, .response = { .status = 200, .isComplete = true, .body = "answer of i-0 to b" } },
        { .id = "c", .kind = soak_call_kind::Stream, .begin = 10s, .end = 10400ms, .response = { .status = 200, .isComplete = true, .body = events } },
    };
    return evidence;
}

struct violation_case {
    const char* name;
    std::function<void(soak_evidence&)> inject;
    const char* expectedText; ///< Part of the line that findViolations must return.
};

std::ostream& operator<<(std::ostream& out, const violation_case& testCase) { return out << testCase.name; }

const violation_case violationCases[] {
    { "response to another request", [](soak_evidence& evidence) { evidence.calls[0].response.body = "answer of i-0 to b"; }, "received an unexpected response" },
    { "event of another request", [](soak_evidence& evidence) { evidence.calls[2].response.body.replace(evidence.calls[2].response.body.rfind("of c"), 4, "of d"); }, "received an unexpected response" },
    { "missing event", [](soak_evidence& evidence) { evidence.calls[2].response.body.erase(0, evidence.calls[2].response.body.find("id: 2")), evidence.calls[2].response.isComplete = false; }, "received an unexpected response" },
    { "order run twice", [](soak_evidence& evidence) { evidence.seen[0].push_back(evidence.seen[0][1]); }, "ran 2 times" },
    { "read run three times", [](soak_evidence& evidence) { evidence.seen.push_back({ evidence.seen[0][0], evidence.seen[0][0] }); }, "ran 3 times" },
    { "run reported as not run", [](soak_evidence& evidence) { evidence.calls[1].response.status = 503, evidence.calls[1].response.body = R"({"execution":"not_run"})"; }, "reported as not run" },
    { "response without a run", [](soak_evidence& evidence) { evidence.seen[0].clear(); }, "ran at no server" },
    { "revoked key", [](soak_evidence& evidence) { evidence.keyRemovals = { 7s }; }, "served with a revoked key" },
    { "late response", [](soak_evidence& evidence) { evidence.calls[0].end = 11500ms; }, "too late" },
    { "stop cuts a stream", [](soak_evidence& evidence) { evidence.calls[2].response.isComplete = false, evidence.plan = { { .at = 10200ms, .length = 1s, .fault = soak_fault::StopDaemon } }; }, "cut by a planned stop" },
    { "draining server", [](soak_evidence& evidence) { evidence.plan = { { .at = 7s, .length = 4s, .fault = soak_fault::DrainServer } }; }, "which is draining" },
    { "cold server", [](soak_evidence& evidence) { evidence.plan = { { .at = 9s, .length = 2s, .fault = soak_fault::ListServerAsCold } }, evidence.seen[0].insert(evidence.seen[0].end(), 20, received_request { .id = "x", .at = evidence.began + 10s }); }, "cold since" },
    { "not served at the end", [](soak_evidence& evidence) { evidence.recoveredAt = 9s, evidence.calls[0].response.status = 503; }, "although all faults had ended" },
    { "violation detected during the run", [](soak_evidence& evidence) { evidence.violations = { "daemon 0 ended by itself" }; }, "ended by itself" },
};

} // namespace

BOOST_AUTO_TEST_CASE(evidenceWithoutViolationsIsAccepted)
{
    BOOST_TEST(findViolations(validEvidence()).empty());
}

BOOST_DATA_TEST_CASE(eachKindOfViolationIsReported, boost::unit_test::data::make(violationCases), testCase)
{
    soak_evidence evidence = validEvidence();
    testCase.inject(evidence);
    const std::vector<std::string> violations = findViolations(evidence);
    BOOST_REQUIRE(!violations.empty());
    BOOST_TEST(violations.front().find(testCase.expectedText) != std::string::npos, violations.front());
}

// A late response or a cut stream is allowed while a fault that explains it is active or the machine is stalled.
BOOST_AUTO_TEST_CASE(effectsOfActiveFaultsAreNotReported)
{
    soak_evidence evidence = validEvidence();
    evidence.calls[0].end = 13s;
    evidence.plan = { { .at = 10050ms, .length = 2s, .fault = soak_fault::PauseDaemon } };
    BOOST_TEST(findViolations(evidence).empty());
    evidence.plan.clear();
    BOOST_TEST(!findViolations(evidence).empty());
    evidence.stalls = { { .begin = 12s, .end = 12300ms } };
    BOOST_TEST(findViolations(evidence).empty());
    evidence.calls[2].response.isComplete = false;
    evidence.plan.push_back({ .at = 9s, .length = 2s, .fault = soak_fault::ServerCuts });
    BOOST_TEST(findViolations(evidence).empty());
}
