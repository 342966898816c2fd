// Tests the stand-ins' rates and lags in virtual time.
#include "radishflow/Support/manual_clock.h"

#include "lagged_text.h"
#include "rate_limit.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <csignal>

using namespace radishflow;
using std::chrono::milliseconds;

namespace {

struct ignore_broken_pipes {
    ignore_broken_pipes() { std::signal(SIGPIPE, SIG_IGN); }
};

} // namespace

BOOST_TEST_GLOBAL_FIXTURE(ignore_broken_pipes);

BOOST_DATA_TEST_CASE(grantsNoMoreThanRateAndBurst, boost::unit_test::data::make({ 1.0, 50.0, 400.0 }), perSecond)
{
    manual_clock clock;
    rate_limit<manual_clock> limit { perSecond, clock };
    int granted = 0;
    for (int step = 0; step < 10'000; ++step) {
        granted += limit.take() ? 1 : 0;
        clock.advance(milliseconds { 1 });
    }
    BOOST_TEST(granted <= perSecond * 10 + std::max(1.0, perSecond / 10));
    BOOST_TEST(granted >= perSecond * 10 - 1);
}

BOOST_AUTO_TEST_CASE(showsATextOnlyAfterTheLag)
{
    manual_clock clock;
    lagged_text<manual_clock> report { "initial", milliseconds { 100 }, clock };
    report.set("first");
    clock.advance(milliseconds { 99 });
    BOOST_TEST(report.shown() == "initial");
    clock.advance(milliseconds { 1 });
    BOOST_TEST(report.shown() == "first");
    report.set("second");
    BOOST_TEST(report.shown() == "first");
    report.setLag(milliseconds { 0 });
    BOOST_TEST(report.shown() == "second");
}
