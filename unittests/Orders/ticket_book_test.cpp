// Tests that a ticket runs at most once, and only by the incarnation that issued it.
#include "radishflow/Orders/ticket_book.h"
#include "radishflow/Support/manual_clock.h"

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <thread>

using namespace radishflow;

namespace {

/// One daemon's book, and one of its next incarnation with another secret.
struct fixture {
    manual_clock clock;
    ticket_book_options options { .daemon = daemon_id { "d1" }, .incarnation = incarnation_number { 4 }, .secret = std::string(32, 'a'), .maximumRecords = 3, .maximumAnswerBytes = 10 };
    ticket_book<manual_clock> book { clock, options };

    order orderWith(const idempotency_key& key) { return { .workspace = workspace_id { "w" }, .key = key, .fingerprint = 7 }; }
    order newOrder() { return orderWith(book.issue(workspace_id { "w" })); }
    ticket_permit permitted(const order& request) { return std::get<ticket_permit>(book.redeem(request)); }
};

} // namespace

static void checkReply(const ticket_outcome& outcome, reply_reason reason, execution_state execution)
{
    BOOST_REQUIRE(std::holds_alternative<order_reply>(outcome));
    const auto& reply = std::get<order_reply>(outcome);
    BOOST_TEST((reply.reason == reason), "reason " << static_cast<int>(reply.reason) << " in place of " << static_cast<int>(reason));
    BOOST_TEST(nameOf(reply.execution) == std::string(nameOf(execution)));
}

BOOST_FIXTURE_TEST_CASE(aTicketIsRedeemedOnce, fixture)
{
    const order request = newOrder();
    ticket_permit permit = permitted(request);
    checkReply(book.redeem(request), reply_reason::InProgress, execution_state::Unknown);
    BOOST_TEST(permit.latch.open());
    BOOST_TEST(!permit.latch.open());
    book.recordDone(permit, { .status = 201, .contentType = "t", .body = "ok" });
    BOOST_TEST(!permit.latch.open());
    const ticket_outcome again = book.redeem(request);
    checkReply(again, reply_reason::Replayed, execution_state::Done);
    BOOST_TEST(std::get<order_reply>(again).answer.body == "ok");
    order other = request;
    other.fingerprint = 8;
    checkReply(book.redeem(other), reply_reason::KeyReused, execution_state::NotRun);
}

BOOST_FIXTURE_TEST_CASE(anOutcomeStaysWhatItIs, fixture)
{
    const order refused = newOrder();
    ticket_permit first = permitted(refused);
    checkReply(book.endNotRun(first), reply_reason::Refused, execution_state::NotRun);
    checkReply(book.redeem(refused), reply_reason::Refused, execution_state::NotRun);
    const order lost = newOrder();
    ticket_permit second = permitted(lost);
    BOOST_TEST(second.latch.open());
    checkReply(book.endNotRun(second), reply_reason::OutcomeLost, execution_state::Unknown);
    checkReply(book.redeem(lost), reply_reason::OutcomeLost, execution_state::Unknown);
}

BOOST_FIXTURE_TEST_CASE(onlyTheIssuerRunsIt, fixture)
{
    const order request = newOrder();
    ticket_book_options next = options;
    next.incarnation = options.incarnation.next();
    checkReply(ticket_book<manual_clock>(clock, next).redeem(request), reply_reason::HolderGone, execution_state::Unknown);
    ticket_book_options other = options;
    other.daemon = daemon_id { "d2" };
    checkReply(ticket_book<manual_clock>(clock, other).redeem(request), reply_reason::OtherDaemon, execution_state::Unknown);
    // A restart that repeats the incarnation number still has another secret.
    ticket_book_options restarted = options;
    restarted.secret = std::string(32, 'b');
    checkReply(ticket_book<manual_clock>(clock, restarted).redeem(request), reply_reason::InvalidKey, execution_state::NotRun);
}

BOOST_FIXTURE_TEST_CASE(aChangedTicketIsRefused, fixture)
{
    const order request = newOrder();
    const order_ticket ticket = *parseTicket(request.key);
    order_ticket later = ticket;
    later.expiry += std::chrono::hours { 1 };
    checkReply(book.redeem(orderWith(encode(later))), reply_reason::InvalidKey, execution_state::NotRun);
    order foreign = request;
    foreign.workspace = workspace_id { "v" };
    checkReply(book.redeem(foreign), reply_reason::InvalidKey, execution_state::NotRun);
    for (const char* key : { "rft1:", "rft1:d1:4:1:1", "rft1:d1:4:01:1:00", "rft1:d1:4:1:9223372036854775807:00", "rft1:d1:4:1:-1:00", "other" })
        checkReply(book.redeem(orderWith(idempotency_key { key })), reply_reason::InvalidKey, execution_state::NotRun);
    BOOST_TEST(std::holds_alternative<ticket_permit>(book.redeem(request)));
}

BOOST_FIXTURE_TEST_CASE(anExpiredTicketIsNotRunWhileItsRecordWouldStillBeThere, fixture)
{
    const order unused = newOrder();
    const order used = newOrder();
    ticket_permit permit = permitted(used);
    BOOST_TEST(permit.latch.open());
    clock.advance(options.lifetime + std::chrono::seconds { 1 });
    checkReply(book.redeem(unused), reply_reason::TicketExpired, execution_state::NotRun);
    checkReply(book.redeem(used), reply_reason::InProgress, execution_state::Unknown);
    clock.advance(options.retention);
    checkReply(book.redeem(used), reply_reason::TicketExpired, execution_state::Unknown);
    checkReply(book.redeem(unused), reply_reason::TicketExpired, execution_state::Unknown);
    BOOST_TEST(book.recordCount() == 0U);
    book.recordDone(permit, { .status = 200, .contentType = {}, .body = "late" });
    BOOST_TEST(book.answerBytes() == 0U);
}

BOOST_FIXTURE_TEST_CASE(memoryIsBounded, fixture)
{
    std::vector<order> requests;
    for (int i = 0; i < 3; ++i) {
        requests.push_back(newOrder());
        ticket_permit permit = permitted(requests.back());
        book.recordDone(permit, { .status = 200, .contentType = {}, .body = "12345" });
        BOOST_TEST(book.answerBytes() <= options.maximumAnswerBytes);
    }
    checkReply(book.redeem(requests.front()), reply_reason::AnswerNotKept, execution_state::Done);
    checkReply(book.redeem(requests.back()), reply_reason::Replayed, execution_state::Done);
    const order late = newOrder();
    checkReply(book.redeem(late), reply_reason::TicketsFull, execution_state::Unknown);
    BOOST_TEST(book.recordCount() == 3U);
}

BOOST_AUTO_TEST_CASE(threadsShareOneBook)
{
    constexpr int tickets = 200;
    const manual_clock clock;
    ticket_book<manual_clock> book(clock, { .daemon = daemon_id { "d1" }, .incarnation = incarnation_number { 1 }, .secret = "s" });
    std::vector<idempotency_key> keys;
    keys.reserve(tickets);
    for (int i = 0; i < tickets; ++i)
        keys.push_back(book.issue(workspace_id { "w" }));
    std::atomic<int> permits = 0;
    std::vector<std::jthread> threads;
    threads.reserve(3);
    for (int i = 0; i < 3; ++i) {
        threads.emplace_back([&] {
            for (const idempotency_key& key : keys)
                permits += std::holds_alternative<ticket_permit>(book.redeem({ .workspace = workspace_id { "w" }, .key = key, .fingerprint = 1 }));
        });
    }
    threads.clear();
    BOOST_TEST(permits == tickets);
}

// Checks the library with the block size that this project states for it; the code is from Python's hmac.
BOOST_AUTO_TEST_CASE(codesAreHmacSha256)
{
    const order_ticket ticket { .daemon = daemon_id { "d" }, .incarnation = incarnation_number { 1 }, .serial = ticket_serial { 2 }, .expiry = time_point { std::chrono::milliseconds { 3 } }, .mac = {} };
    BOOST_TEST(ticketMac(ticket, workspace_id { "w" }, "secret") == "83735af2f68b8d8d63dfa27b7648aceca18b85be34c1e41ee26a68bb97de4a7e");
}
