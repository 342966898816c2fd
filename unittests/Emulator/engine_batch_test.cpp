// Tests the engine stand-in's decisions in virtual time: slots, queue, cold start, overload, cache, resume window.
#include "radishflow/Support/manual_clock.h"

#include "engine_batch.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace radishflow;
using std::chrono::milliseconds;

namespace {

/// A batch with two slots, a cold limit of one when asked for, and round times.
struct batch_run {
    explicit batch_run(int coldLimit = 0)
        : batch({ .slots = 2, .tokenInterval = milliseconds { 10 }, .firstToken = milliseconds { 100 }, .coldLimit = coldLimit, .warmAfter = 2, .coldSlowdown = 2, .kvPrefixes = 2, .resumeWindow = milliseconds { 1000 } },
            clock.now())
    {
    }

    generation_ptr admit(const std::string& id, int urgency = 3, int tokens = 2)
    {
        return batch.admit({ .id = id, .tokens = tokens, .urgency = urgency }, clock.now());
    }

    generation_ptr admitWithPrefix(const std::string& id, const std::string& prefix)
    {
        return batch.admit({ .id = id, .tokens = 1, .prefix = prefix }, clock.now());
    }

    void pass(milliseconds time)
    {
        for (milliseconds step { 0 }; step < time; step += milliseconds { 10 }) {
            clock.advance(milliseconds { 10 });
            batch.advance(clock.now());
        }
    }

    manual_clock clock;
    engine_batch batch;
};

} // namespace

BOOST_AUTO_TEST_CASE(fillsSlotsByUrgencyThenArrival)
{
    batch_run run;
    std::vector<generation_ptr> all { run.admit("a"), run.admit("b"), run.admit("c", 5), run.admit("d", 1), run.admit("e", 1) };
    BOOST_TEST(run.batch.running() == 2);
    BOOST_TEST(run.batch.waiting() == 3);
    run.pass(milliseconds { 110 });
    BOOST_TEST((all[0]->state == generation_state::Done));
    BOOST_TEST((all[3]->state == generation_state::Running));
    BOOST_TEST((all[4]->state == generation_state::Running));
    BOOST_TEST((all[2]->state == generation_state::Waiting));
    run.pass(milliseconds { 300 });
    BOOST_TEST((all[2]->state == generation_state::Done));
    BOOST_TEST(run.batch.record().maxRunning == 2);
    BOOST_TEST(run.batch.record().maxLoad == 5);
}

BOOST_AUTO_TEST_CASE(coldEngineFallsOverAboveItsLimitAndLosesEverything)
{
    batch_run run { 1 };
    const generation_ptr first = run.admit("a");
    BOOST_TEST(run.batch.record().overloads.empty());
    run.pass(milliseconds { 50 });
    const generation_ptr second = run.admit("b");
    BOOST_REQUIRE(run.batch.record().overloads.size() == 1);
    BOOST_TEST(run.batch.record().overloads[0].running == 2);
    BOOST_TEST((run.batch.record().overloads[0].coldFor == milliseconds { 50 }));
    BOOST_TEST((first->state == generation_state::Lost));
    BOOST_TEST((second->state == generation_state::Lost));
    BOOST_TEST(run.batch.life() == 1U);
    BOOST_TEST(run.batch.running() == 0);
    BOOST_TEST(!run.batch.find("a"));
}

BOOST_AUTO_TEST_CASE(becomesWarmByCompletionsAndColdWithoutWarning)
{
    batch_run run { 1 };
    for (const char* id : { "a", "b" }) {
        run.admit(id);
        run.pass(milliseconds { 210 });
        BOOST_TEST(run.batch.record().completed == 0); // Twice as slow while cold: 200 ms and 20 ms.
        run.pass(milliseconds { 10 });
        BOOST_TEST(run.batch.record().completed == 1);
        run.batch.record().completed = 0;
    }
    BOOST_TEST(!run.batch.isCold());
    for (const char* id : { "c", "d", "e" })
        run.admit(id);
    BOOST_TEST(run.batch.record().overloads.empty());
    run.batch.turnCold(run.clock.now());
    run.pass(milliseconds { 500 });
    // What ran or waited before is not held against it, a new request is.
    BOOST_TEST(run.batch.record().overloads.empty());
    run.batch.turnCold(run.clock.now());
    run.admit("f");
    run.admit("g");
    BOOST_TEST(run.batch.record().overloads.size() == 1U);
    BOOST_TEST(run.batch.record().coldStarts == 4);
}

BOOST_AUTO_TEST_CASE(aCrashingRequestTakesTheOthersWithIt)
{
    batch_run run;
    const generation_ptr other = run.admit("a");
    run.batch.admit({ .id = "b", .crashesEngine = true }, run.clock.now());
    BOOST_TEST((other->state == generation_state::Lost));
    BOOST_TEST(run.batch.record().crashes == 1);
    BOOST_TEST(run.batch.record().overloads.empty());
}

BOOST_AUTO_TEST_CASE(cachesPrefixesAndForgetsTheOldest)
{
    batch_run run;
    for (const char* prefix : { "p", "q", "p", "r" }) {
        run.admitWithPrefix(prefix, prefix);
        run.pass(milliseconds { 110 });
    }
    BOOST_TEST(run.batch.record().hits == 1);
    BOOST_TEST(run.batch.record().misses == 3);
    BOOST_TEST(run.batch.cache().has("p"));
    BOOST_TEST(!run.batch.cache().has("q"));
    const generation_ptr fast = run.admitWithPrefix("again", "p");
    run.pass(milliseconds { 10 });
    BOOST_TEST((fast->state == generation_state::Done));
}

BOOST_AUTO_TEST_CASE(logsCacheEventsLateAndWithGaps)
{
    manual_clock clock;
    prefix_cache cache { 1 };
    cache.store("p", clock.now());
    cache.dropEvents(1);
    cache.store("q", clock.now()); // "stored q" is dropped, "removed p" is not.
    const auto shown = cache.events(0, clock.now());
    BOOST_REQUIRE(shown.size() == 2);
    BOOST_TEST(shown[0].number == 1U);
    BOOST_TEST(shown[1].number == 3U);
    BOOST_TEST(shown[1].prefix == "p");
    BOOST_TEST(cache.events(0, clock.now() - milliseconds { 1 }).empty());
    BOOST_TEST(cache.events(2, clock.now()).size() == 1U);
    cache.restart(clock.now());
    BOOST_TEST(cache.events(0, clock.now()).at(0).number == 1U);
}

BOOST_DATA_TEST_CASE(resumesOnlyWithinTheWindow, boost::unit_test::data::make({ 900, 1100 }), waited)
{
    batch_run run;
    const generation_ptr left = run.admit("a", 3, 500);
    run.batch.detach(*left, left->attachment, run.clock.now());
    run.pass(milliseconds { waited });
    const bool isHeld = waited < 1000;
    BOOST_TEST((run.batch.find("a") != nullptr) == isHeld);
    BOOST_TEST(run.batch.record().cancelled == (isHeld ? 0 : 1));
}

BOOST_AUTO_TEST_CASE(anEarlierConnectionCannotDetachALaterOne)
{
    batch_run run;
    const generation_ptr resumed = run.admit("a");
    const int attachment = run.batch.attach(*resumed);
    run.batch.detach(*resumed, attachment - 1, run.clock.now());
    BOOST_TEST(resumed->isAttached);
    BOOST_TEST(run.batch.record().resumed == 1);
}
