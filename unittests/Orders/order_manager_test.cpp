// Tests the claims of orders in the interleavings that models/single_execution.pml models: pauses between steps,
// lost replies, holders that die and holders that are fenced.
#include "radishflow/Orders/order_manager.h"

#include "../Support/memory_table.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <functional>
#include <ostream>
#include <set>

using namespace radishflow;
namespace data = boost::unit_test::data;

namespace {

/// Runs an action right before the next commit, as if other daemons acted while this one was paused.
struct hooked_table {
    memory_table& table;
    std::function<void()> beforeCommit {};

    result<table_page> readRange(const std::string& prefix, std::int64_t minModRevision) { return table.readRange(prefix, minModRevision); }

    result<table_commit> commit(const std::vector<row_condition>& conditions, const std::vector<row_write>& writes)
    {
        if (const auto hook = std::exchange(beforeCommit, nullptr))
            hook();
        return table.commit(conditions, writes);
    }
};

struct test_liveness_check {
    const std::set<daemon_id>* dead;
    bool operator()(const daemon_id& daemon, incarnation_number) const { return !dead->contains(daemon); }
};

using test_order_manager = order_manager<hooked_table, test_liveness_check>;

/// Two daemons that share one table.
struct fixture {
    memory_table table;
    std::set<daemon_id> dead;
    hooked_table firstView { .table = table };
    hooked_table secondView { .table = table };
    bool recordsDispatch = false;
    order request { .workspace = workspace_id { "w" }, .key = idempotency_key { "k" }, .fingerprint = 7 };

    test_order_manager first() { return { firstView, { &dead }, { .daemon = daemon_id { "d1" }, .incarnation = incarnation_number { 1 }, .recordsDispatch = recordsDispatch } }; }
    test_order_manager second() { return { secondView, { &dead }, { .daemon = daemon_id { "d2" }, .incarnation = incarnation_number { 1 }, .recordsDispatch = recordsDispatch } }; }

    order_claim claimFirst() { return std::get<order_claim>(first().claim(request, attempt_id { "a1" })); }
    order_reply resend() { return replyOf(second().claim(request, attempt_id { "a2" })); }

    static order_reply replyOf(const claim_result& outcome)
    {
        BOOST_REQUIRE(std::holds_alternative<order_reply>(outcome));
        return std::get<order_reply>(outcome);
    }
};

} // namespace

static void checkReply(const order_reply& reply, reply_reason reason, execution_state execution)
{
    BOOST_TEST((reply.reason == reason), "reason " << static_cast<int>(reply.reason) << " in place of " << static_cast<int>(reason));
    BOOST_TEST(nameOf(reply.execution) == std::string(nameOf(execution)));
}

namespace {

enum class holder_step {
    Claims,
    Marks,
    RecordsDone,
    EndsNotRun,
    EndsUnknown,
};

struct resend_case {
    const char* name;
    bool recordsDispatch;
    holder_step lastStep;
    bool holderDies;
    reply_reason reason;
    execution_state execution;
};

std::ostream& operator<<(std::ostream& out, const resend_case& sample)
{
    return out << sample.name;
}

} // namespace

static const std::vector<resend_case> resendCases {
    { .name = "claimed, alive", .recordsDispatch = false, .lastStep = holder_step::Claims, .holderDies = false, .reason = reply_reason::InProgress, .execution = execution_state::Unknown },
    { .name = "claimed, dead", .recordsDispatch = false, .lastStep = holder_step::Claims, .holderDies = true, .reason = reply_reason::HolderGone, .execution = execution_state::Unknown },
    { .name = "claimed with dispatch record, dead", .recordsDispatch = true, .lastStep = holder_step::Claims, .holderDies = true, .reason = reply_reason::Refused, .execution = execution_state::NotRun },
    { .name = "dispatching, alive", .recordsDispatch = true, .lastStep = holder_step::Marks, .holderDies = false, .reason = reply_reason::InProgress, .execution = execution_state::Unknown },
    { .name = "dispatching, dead", .recordsDispatch = true, .lastStep = holder_step::Marks, .holderDies = true, .reason = reply_reason::HolderGone, .execution = execution_state::Unknown },
    { .name = "done", .recordsDispatch = false, .lastStep = holder_step::RecordsDone, .holderDies = true, .reason = reply_reason::Replayed, .execution = execution_state::Done },
    { .name = "not run", .recordsDispatch = false, .lastStep = holder_step::EndsNotRun, .holderDies = true, .reason = reply_reason::Refused, .execution = execution_state::NotRun },
    { .name = "reply lost", .recordsDispatch = false, .lastStep = holder_step::EndsUnknown, .holderDies = false, .reason = reply_reason::OutcomeLost, .execution = execution_state::Unknown },
};

// Guards against a false reply to a caller that repeats an order, for each state in which the holder of its claim can
// be alive or have died.
BOOST_DATA_TEST_CASE(resentOrderGetsReplyThatMatchesTheHoldersLastStep, data::make(resendCases), sample)
{
    fixture orders;
    orders.recordsDispatch = sample.recordsDispatch;
    test_order_manager holder = orders.first();
    order_claim claim = orders.claimFirst();
    const stored_response response { .status = 201, .contentType = "text/plain", .body = std::string("a\0:b", 4) };
    if (sample.lastStep == holder_step::Marks || sample.lastStep == holder_step::RecordsDone || sample.lastStep == holder_step::EndsUnknown)
        BOOST_REQUIRE(holder.markDispatching(claim));
    if (sample.lastStep == holder_step::RecordsDone)
        BOOST_TEST(holder.recordDone(claim, response));
    if (sample.lastStep == holder_step::EndsNotRun)
        checkReply(holder.endNotRun(claim), reply_reason::Refused, execution_state::NotRun);
    if (sample.lastStep == holder_step::EndsUnknown)
        checkReply(holder.endUnknown(claim), reply_reason::OutcomeLost, execution_state::Unknown);
    if (sample.holderDies)
        orders.dead.insert(daemon_id { "d1" });
    const order_reply reply = orders.resend();
    checkReply(reply, sample.reason, sample.execution);
    BOOST_TEST((reply.reason != reply_reason::Replayed || reply.response == response));
    checkReply(orders.second().refuse(orders.request, attempt_id { "a3" }), sample.reason, sample.execution);
    checkReply(orders.second().lookUp(orders.request), sample.reason, sample.execution);
}

// Guards against a second run: a holder pauses before it writes Dispatching, seems dead and is fenced by another
// daemon, which replies "not run". The holder must not dispatch when it continues.
BOOST_FIXTURE_TEST_CASE(holderFencedDuringAPauseDoesNotDispatch, fixture)
{
    recordsDispatch = true;
    order_claim claim = claimFirst();
    dead.insert(daemon_id { "d1" });
    firstView.beforeCommit = [&] { checkReply(resend(), reply_reason::Refused, execution_state::NotRun); };
    BOOST_TEST(!first().markDispatching(claim));
    checkReply(first().endNotRun(claim), reply_reason::Refused, execution_state::NotRun);
}

// Guards against a false "not run": the holder writes Dispatching after another daemon has read its claim but before
// that daemon writes the fence.
BOOST_FIXTURE_TEST_CASE(outcomeIsUnknownWhenHolderMarksDispatchBeforeFenceIsWritten, fixture)
{
    recordsDispatch = true;
    order_claim claim = claimFirst();
    dead.insert(daemon_id { "d1" });
    const auto markFirst = [&] { BOOST_TEST(first().markDispatching(claim)); };
    int commits = 0;
    secondView.beforeCommit = [&] { secondView.beforeCommit = markFirst; ++commits; };
    checkReply(resend(), reply_reason::HolderGone, execution_state::Unknown);
    BOOST_TEST(commits == 1);
}

BOOST_FIXTURE_TEST_CASE(onlyOneOfTwoConcurrentClaimsSucceeds, fixture)
{
    firstView.beforeCommit = [&] { BOOST_TEST(std::holds_alternative<order_claim>(second().claim(request, attempt_id { "a2" }))); };
    checkReply(replyOf(first().claim(request, attempt_id { "a1" })), reply_reason::InProgress, execution_state::Unknown);
}

// The repeated insertion finds the claim's own row and must not take it for that of another daemon.
BOOST_FIXTURE_TEST_CASE(claimSucceedsWhenReplyOfItsInsertionIsLost, fixture)
{
    table.loseReplies = 1;
    BOOST_TEST(std::holds_alternative<order_claim>(first().claim(request, attempt_id { "a1" })));
    checkReply(resend(), reply_reason::InProgress, execution_state::Unknown);
}

// Guards against a false "not run" while an insertion whose replies were lost may still take effect.
BOOST_FIXTURE_TEST_CASE(indeterminateClaimIsNotReportedAsNotRun, fixture)
{
    table.loseReplies = 3;
    checkReply(replyOf(first().claim(request, attempt_id { "a1" })), reply_reason::TableUnavailable, execution_state::Unknown);
    table.isDown = true;
    checkReply(first().refuse(request, attempt_id { "a2" }), reply_reason::TableUnavailable, execution_state::Unknown);
    checkReply(first().lookUp(request), reply_reason::TableUnavailable, execution_state::Unknown);
}

// A claim that ends before any dispatch is "not run" although the table can't be written, and stays without a dispatch
// once the table is reachable again.
BOOST_FIXTURE_TEST_CASE(claimEndedWhileTableIsUnreachableIsNotRun, fixture)
{
    recordsDispatch = true;
    order_claim claim = claimFirst();
    table.isDown = true;
    BOOST_TEST(!first().markDispatching(claim));
    checkReply(first().endNotRun(claim), reply_reason::NotDispatched, execution_state::NotRun);
    table.isDown = false;
    BOOST_TEST(!first().markDispatching(claim));
    checkReply(first().endNotRun(claim), reply_reason::Refused, execution_state::NotRun);
}

// Guards against a second run: after a dispatch without reply, only a confirmation that it was not dispatched allows
// another one.
BOOST_FIXTURE_TEST_CASE(noDispatchFollowsALostOne, fixture)
{
    order_claim claim = claimFirst();
    BOOST_TEST(first().markDispatching(claim));
    BOOST_TEST(!first().markDispatching(claim));
    claim.latch.confirmNotDispatched();
    BOOST_TEST(first().markDispatching(claim));
    checkReply(first().endNotRun(claim), reply_reason::OutcomeLost, execution_state::Unknown);
    BOOST_TEST(!first().markDispatching(claim));
}

BOOST_FIXTURE_TEST_CASE(outcomeIsStoredAfterLostReplies, fixture)
{
    recordsDispatch = true;
    order_claim claim = claimFirst();
    table.loseReplies = 3;
    BOOST_TEST(!first().markDispatching(claim));
    table.isDown = true;
    checkReply(first().endNotRun(claim), reply_reason::NotDispatched, execution_state::NotRun);
    table.isDown = false;
    checkReply(first().endNotRun(claim), reply_reason::Refused, execution_state::NotRun);
    checkReply(resend(), reply_reason::Refused, execution_state::NotRun);
}

BOOST_FIXTURE_TEST_CASE(outcomesQueuedWhileTableIsUnreachableAreWrittenLater, fixture)
{
    test_order_manager holder = first();
    order_claim claim = claimFirst();
    BOOST_TEST(holder.markDispatching(claim));
    order other = request;
    other.key = idempotency_key { "late" };
    table.isDown = true;
    BOOST_TEST(!holder.recordDone(claim, { .status = 201, .contentType = {}, .body = "ok" }));
    checkReply(replyOf(holder.claim(other, attempt_id { "a4" })), reply_reason::TableUnavailable, execution_state::Unknown);
    holder.recordPending(10);
    BOOST_TEST(holder.pendingCount() == 2U);
    table.isDown = false;
    checkReply(resend(), reply_reason::InProgress, execution_state::Unknown);
    holder.recordPending(10);
    BOOST_TEST(holder.pendingCount() == 0U);
    checkReply(resend(), reply_reason::Replayed, execution_state::Done);
    checkReply(replyOf(second().claim(other, attempt_id { "a5" })), reply_reason::Refused, execution_state::NotRun);
}

BOOST_AUTO_TEST_CASE(backlogLimitsOutcomesAndBodyBytes)
{
    outcome_backlog backlog;
    for (int i = 0; i < 5000; ++i)
        backlog.push({ .claim = {}, .state = claim_state::Done, .response = { .status = i, .contentType = {}, .body = std::string(2048, 'x') } });
    BOOST_TEST(backlog.size() == 4096U);
    BOOST_TEST(backlog.pop()->response.status == 5000 - 4096);
    std::size_t bytes = 0;
    while (const std::optional<pending_outcome> outcome = backlog.pop())
        bytes += outcome->response.body.size();
    BOOST_TEST(bytes > 0U);
    BOOST_TEST(bytes <= 4U * 1024 * 1024);
}

BOOST_FIXTURE_TEST_CASE(eachKeyIdentifiesOneOrder, fixture)
{
    order_claim claim = claimFirst();
    order other = request;
    other.key = idempotency_key { "key" };
    BOOST_TEST(std::holds_alternative<order_claim>(first().claim(other, attempt_id { "a0" })));
    other = request;
    other.fingerprint = 8;
    checkReply(replyOf(second().claim(other, attempt_id { "a2" })), reply_reason::KeyReused, execution_state::NotRun);
    for (const char* key : { "ke", "key2", "K", "k/", "2:k" }) {
        other.key = idempotency_key { key };
        checkReply(second().lookUp(other), reply_reason::NotFound, execution_state::Unknown);
    }
    for (const char* key : { "", "a b", "\x7f" }) {
        other.key = idempotency_key { key };
        checkReply(replyOf(first().claim(other, attempt_id { "a3" })), reply_reason::InvalidKey, execution_state::NotRun);
    }
    other.key = idempotency_key { "rft1:d1:1:1:1:00" };
    checkReply(replyOf(first().claim(other, attempt_id { "a3" })), reply_reason::OtherDaemon, execution_state::Unknown);
}

BOOST_FIXTURE_TEST_CASE(longResponseIsRecordedWithoutItsBody, fixture)
{
    order_claim claim = claimFirst();
    BOOST_TEST(first().markDispatching(claim));
    BOOST_TEST(first().recordDone(claim, { .status = 200, .contentType = "t", .body = std::string(16 * 1024 + 1, 'x') }));
    checkReply(resend(), reply_reason::ResponseNotStored, execution_state::Done);
}

BOOST_AUTO_TEST_CASE(truncatedRowFailsToDecode)
{
    const claim_record record { .attempt = attempt_id { "a" }, .holder = daemon_id { "d" } };
    const std::string good = encode(record);
    for (std::size_t length = 0; length < good.size(); ++length)
        BOOST_TEST(valueOr([&]() -> result<bool> { BOOST_LEAF_AUTO(read, decodeClaimRecord(good.substr(0, length))); return read == record; }, [](const failure&) { return true; }));
    BOOST_TEST(valueOr([&]() -> result<bool> { BOOST_LEAF_AUTO(read, decodeClaimRecord(good)); return read == record; }, [](const failure&) { return false; }));
}
