// Tests the queue for the slots of a service's servers, and plays the load of more requests than the slots can serve.
#include "radishflow/Routing/slot_queue.h"
#include "radishflow/Support/manual_clock.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <chrono>
#include <map>
#include <ostream>
#include <random>

using namespace radishflow;
using namespace std::chrono_literals;

namespace {

slot_request requestAt(time_point now, duration objective, duration deadline, int priority = 0)
{
    return { .objective = now + objective, .deadline = now + deadline, .priority = priority };
}

} // namespace

BOOST_AUTO_TEST_CASE(urgentRequestsGoFirst)
{
    manual_clock clock;
    slot_queue<manual_clock> queue { clock };
    queue.setSlots(1);
    const auto first = queue.enter(requestAt(clock.now(), 200ms, 2s)).ticket;
    BOOST_REQUIRE(first.has_value());
    queue.start(*first);
    BOOST_TEST(!queue.next().has_value());
    const auto lessUrgent = queue.enter(requestAt(clock.now(), 400ms, 2s, 2)).ticket;
    const auto urgent = queue.enter(requestAt(clock.now(), 400ms, 2s, 1)).ticket;
    const auto second = queue.enter(requestAt(clock.now(), 400ms, 2s, 1)).ticket;
    queue.finish(40ms);
    for (const auto& expected : { urgent, second, lessUrgent }) {
        BOOST_TEST((queue.next() == expected));
        queue.start(*queue.next());
        queue.finish(40ms);
    }
    BOOST_TEST(queue.waiting() == 0U);
}

// A slot is held for 40 ms before any request has ended.
BOOST_AUTO_TEST_CASE(requestWaitsNoLongerThanItCanBeOnTime)
{
    manual_clock clock;
    slot_queue<manual_clock> queue { clock };
    queue.setSlots(1);
    queue.start(*queue.enter(requestAt(clock.now(), 200ms, 900ms)).ticket);
    const auto waiting = *queue.enter(requestAt(clock.now(), 200ms, 900ms)).ticket;
    clock.advance(159ms);
    BOOST_TEST(!queue.isOverdue(waiting));
    clock.advance(2ms);
    BOOST_TEST(queue.isOverdue(waiting));
    queue.leave(waiting);
    BOOST_TEST(!queue.isOverdue(waiting));
}

BOOST_AUTO_TEST_CASE(withoutSlotsRequestsAreRefused)
{
    manual_clock clock;
    slot_queue<manual_clock> queue { clock };
    BOOST_TEST(!queue.enter(requestAt(clock.now(), 200ms, 2s)).ticket.has_value());
}

namespace {

/// Requests of one kind at a service whose requests hold a slot for 33 ms on average.
struct load_case {
    const char* name;
    double requestsPerSecond;
    duration deadline;
    double minOnTime; ///< Share of the requests.
    double maxRefused;

    friend std::ostream& operator<<(std::ostream& out, const load_case& test) { return out << test.name; }
};

// Six slots serve 180 requests a second. Callers need an answer within 150 ms.
const load_case loads[] {
    { "two thirds of the slots", 120, 2500ms, 0.97, 0 },
    { "nine tenths of the slots", 162, 2500ms, 0.8, 0.01 },
    { "a third more than the slots serve", 240, 2500ms, 0.66, 0.32 },
    { "a third more, callers with little time", 240, 1000ms, 0.66, 0.32 },
    { "twice as much", 360, 1000ms, 0.4, 0.6 },
};

} // namespace

// Requests that are refused at once cost little, as they come back; what is served late has taken the slot of one that would be on time.
BOOST_DATA_TEST_CASE(slotsServeWhatTheyCanOnTime, boost::unit_test::data::make(loads), test)
{
    constexpr auto objective = 150ms;
    manual_clock clock;
    std::mt19937 random { 11 };
    slot_queue<manual_clock> queue { clock };
    queue.setSlots(6);
    std::map<slot_ticket, time_point> arrivals;
    std::multimap<time_point, std::pair<time_point, time_point>> running; ///< By their end: start and arrival.
    int requests = 0;
    int onTime = 0;
    int refused = 0;
    const time_point end = clock.now() + 20s;
    std::exponential_distribution<double> gap { test.requestsPerSecond };
    std::lognormal_distribution<double> work { std::log(0.033) - 0.125, 0.5 };
    time_point nextArrival = clock.now();
    const auto startWaiting = [&] {
        while (const auto ticket = queue.next()) {
            queue.start(*ticket);
            const auto hold = std::chrono::duration_cast<duration>(std::chrono::duration<double> { work(random) });
            running.emplace(clock.now() + hold, std::pair { clock.now(), arrivals.at(*ticket) });
        }
        std::erase_if(arrivals, [&](const auto& entry) {
            if (!queue.isOverdue(entry.first))
                return false;
            queue.leave(entry.first);
            ++refused;
            return true;
        });
    };
    while (clock.now() < end) {
        const bool isEndNext = !running.empty() && running.begin()->first <= nextArrival;
        clock.advance((isEndNext ? running.begin()->first : nextArrival) - clock.now());
        if (isEndNext) {
            const auto [startedAt, arrivedAt] = running.begin()->second;
            queue.finish(clock.now() - startedAt);
            onTime += clock.now() - arrivedAt <= objective ? 1 : 0;
            running.erase(running.begin());
        } else {
            ++requests;
            if (const auto admission = queue.enter(requestAt(clock.now(), objective, test.deadline)); admission.ticket) {
                arrivals.emplace(*admission.ticket, clock.now());
            } else {
                ++refused;
                BOOST_TEST((admission.retryAfter >= 100ms));
            }
            nextArrival = clock.now() + std::chrono::duration_cast<duration>(std::chrono::duration<double> { gap(random) });
        }
        startWaiting();
    }
    BOOST_TEST_MESSAGE(test << ": " << onTime << " of " << requests << " on time, " << refused << " refused");
    BOOST_TEST(onTime >= requests * test.minOnTime);
    BOOST_TEST(refused <= requests * test.maxRefused);
}
