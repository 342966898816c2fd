// Tests that a reservation runs at most once, and only by the incarnation that issued it.
#include "radishflow/Orders/reservation_manager.h"
#include "radishflow/Support/manual_clock.h"

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <thread>

using namespace radishflow;

namespace {

/// The reservation_manager of one daemon incarnation, with limits small enough to reach.
struct fixture {
    manual_clock clock;
    reservation_manager_options options { .daemon = daemon_id { "d1" }, .incarnation = incarnation_number { 4 }, .secret = std::string(32, 'a'), .maximumRecords = 3, .maximumBodyBytes = 10 };
    reservation_manager<manual_clock> manager { clock, options };

    order orderWith(const idempotency_key& key) { return { .workspace = workspace_id { "w" }, .key = key, .fingerprint = 7 }; }
    order newOrder() { return orderWith(manager.issue(workspace_id { "w" })); }
    reservation_permit redeemed(const order& request) { return std::get<reservation_permit>(manager.redeem(request)); }
};

} // namespace

static void checkReply(const redemption_result& outcome, reply_reason reason, execution_state execution)
{
    BOOST_REQUIRE(std::holds_alternative<order_reply>(outcome));
    const auto& reply = std::get<order_reply>(outcome);
    BOOST_TEST((reply.reason == reason), "reason " << static_cast<int>(reply.reason) << " in place of " << static_cast<int>(reason));
    BOOST_TEST(nameOf(reply.execution) == std::string(nameOf(execution)));
}

BOOST_FIXTURE_TEST_CASE(reservationIsRedeemedOnce, fixture)
{
    const order request = newOrder();
    reservation_permit permit = redeemed(request);
    checkReply(manager.redeem(request), reply_reason::InProgress, execution_state::Unknown);
    BOOST_TEST(permit.latch.tryBegin());
    BOOST_TEST(!permit.latch.tryBegin());
    manager.recordDone(permit, { .status = 201, .contentType = "t", .body = "ok" });
    BOOST_TEST(!permit.latch.tryBegin());
    const redemption_result again = manager.redeem(request);
    checkReply(again, reply_reason::Replayed, execution_state::Done);
    BOOST_TEST(std::get<order_reply>(again).response.body == "ok");
    order other = request;
    other.fingerprint = 8;
    checkReply(manager.redeem(other), reply_reason::KeyReused, execution_state::NotRun);
}

BOOST_FIXTURE_TEST_CASE(recordedOutcomeDoesNotChange, fixture)
{
    const order refused = newOrder();
    reservation_permit first = redeemed(refused);
    checkReply(manager.endNotRun(first), reply_reason::Refused, execution_state::NotRun);
    checkReply(manager.redeem(refused), reply_reason::Refused, execution_state::NotRun);
    const order lost = newOrder();
    reservation_permit second = redeemed(lost);
    BOOST_TEST(second.latch.tryBegin());
    checkReply(manager.endNotRun(second), reply_reason::OutcomeLost, execution_state::Unknown);
    checkReply(manager.redeem(lost), reply_reason::OutcomeLost, execution_state::Unknown);
}

BOOST_FIXTURE_TEST_CASE(onlyTheIssuingIncarnationRedeemsAReservation, fixture)
{
    const order request = newOrder();
    reservation_manager_options next = options;
    next.incarnation = options.incarnation.next();
    checkReply(reservation_manager<manual_clock>(clock, next).redeem(request), reply_reason::HolderGone, execution_state::Unknown);
    reservation_manager_options other = options;
    other.daemon = daemon_id { "d2" };
    checkReply(reservation_manager<manual_clock>(clock, other).redeem(request), reply_reason::OtherDaemon, execution_state::Unknown);
    // Even if a restart repeats the incarnation number, its secret differs, so the MAC is invalid.
    reservation_manager_options restarted = options;
    restarted.secret = std::string(32, 'b');
    checkReply(reservation_manager<manual_clock>(clock, restarted).redeem(request), reply_reason::InvalidKey, execution_state::NotRun);
}

// Guards against keys that a caller forged, changed or sent for another workspace.
BOOST_FIXTURE_TEST_CASE(alteredReservationIsRefused, fixture)
{
    const order request = newOrder();
    const order_reservation reservation = *parseReservation(request.key);
    order_reservation later = reservation;
    later.expiry += std::chrono::hours { 1 };
    checkReply(manager.redeem(orderWith(encode(later))), reply_reason::InvalidKey, execution_state::NotRun);
    order foreign = request;
    foreign.workspace = workspace_id { "v" };
    checkReply(manager.redeem(foreign), reply_reason::InvalidKey, execution_state::NotRun);
    for (const char* key : { "rft1:", "rft1:d1:4:1:1", "rft1:d1:4:01:1:00", "rft1:d1:4:1:9223372036854775807:00", "rft1:d1:4:1:-1:00", "other" })
        checkReply(manager.redeem(orderWith(idempotency_key { key })), reply_reason::InvalidKey, execution_state::NotRun);
    BOOST_TEST(std::holds_alternative<reservation_permit>(manager.redeem(request)));
}

// Guards against a false "not run": a missing record proves that an order never ran only until the retention ends.
BOOST_FIXTURE_TEST_CASE(expiredReservationIsNotRunWithinRetentionAndUnknownAfterwards, fixture)
{
    const order unused = newOrder();
    const order used = newOrder();
    reservation_permit permit = redeemed(used);
    BOOST_TEST(permit.latch.tryBegin());
    clock.advance(options.lifetime + std::chrono::seconds { 1 });
    checkReply(manager.redeem(unused), reply_reason::ReservationExpired, execution_state::NotRun);
    checkReply(manager.redeem(used), reply_reason::InProgress, execution_state::Unknown);
    clock.advance(options.retention);
    checkReply(manager.redeem(used), reply_reason::ReservationExpired, execution_state::Unknown);
    checkReply(manager.redeem(unused), reply_reason::ReservationExpired, execution_state::Unknown);
    BOOST_TEST(manager.recordCount() == 0U);
    manager.recordDone(permit, { .status = 200, .contentType = {}, .body = "late" });
    BOOST_TEST(manager.bodyBytes() == 0U);
}

BOOST_FIXTURE_TEST_CASE(recordsAndBodyBytesAreLimited, fixture)
{
    std::vector<order> requests;
    for (int i = 0; i < 3; ++i) {
        requests.push_back(newOrder());
        reservation_permit permit = redeemed(requests.back());
        manager.recordDone(permit, { .status = 200, .contentType = {}, .body = "12345" });
        BOOST_TEST(manager.bodyBytes() <= options.maximumBodyBytes);
    }
    checkReply(manager.redeem(requests.front()), reply_reason::ResponseNotStored, execution_state::Done);
    checkReply(manager.redeem(requests.back()), reply_reason::Replayed, execution_state::Done);
    const order late = newOrder();
    checkReply(manager.redeem(late), reply_reason::ReservationLimitReached, execution_state::Unknown);
    BOOST_TEST(manager.recordCount() == 3U);
}

// Guards against two permits for one reservation when threads redeem it at the same time.
BOOST_AUTO_TEST_CASE(concurrentRedemptionsYieldOnePermitPerReservation)
{
    constexpr int reservations = 200;
    const manual_clock clock;
    reservation_manager<manual_clock> manager(clock, { .daemon = daemon_id { "d1" }, .incarnation = incarnation_number { 1 }, .secret = "s" });
    std::vector<idempotency_key> keys;
    keys.reserve(reservations);
    for (int i = 0; i < reservations; ++i)
        keys.push_back(manager.issue(workspace_id { "w" }));
    std::atomic<int> permits = 0;
    std::vector<std::jthread> threads;
    threads.reserve(3);
    for (int i = 0; i < 3; ++i) {
        threads.emplace_back([&] {
            for (const idempotency_key& key : keys)
                permits += std::holds_alternative<reservation_permit>(manager.redeem({ .workspace = workspace_id { "w" }, .key = key, .fingerprint = 1 }));
        });
    }
    threads.clear();
    BOOST_TEST(permits == reservations);
}

// Guards against a wrong block size given to POCO's HMACEngine, which would yield other MACs than HMAC-SHA256.
// The expected MAC was computed with Python's hmac.
BOOST_AUTO_TEST_CASE(macsAreHmacSha256)
{
    const order_reservation reservation { .daemon = daemon_id { "d" }, .incarnation = incarnation_number { 1 }, .serial = reservation_serial { 2 }, .expiry = time_point { std::chrono::milliseconds { 3 } }, .mac = {} };
    BOOST_TEST(reservationMac(reservation, workspace_id { "w" }, "secret") == "83735af2f68b8d8d63dfa27b7648aceca18b85be34c1e41ee26a68bb97de4a7e");
}
