// Tests the estimate of a server's load from a report that is some time old.
#include "radishflow/Routing/load_forecast.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <chrono>
#include <cmath>
#include <ostream>
#include <random>

using namespace radishflow;
using namespace std::chrono_literals;

namespace {

struct age_case {
    duration age;
    duration requestTime;
    double expected; ///< After reports of 4 for a long time and a last one of 10.

    friend std::ostream& operator<<(std::ostream& out, const age_case& test) { return out << std::chrono::duration_cast<std::chrono::milliseconds>(test.age).count() << " ms"; }
};

const age_case ages[] {
    { 0ms, 700ms, 10 },
    { 700ms, 700ms, 4 + 6 * 0.368 },
    { 700ms, 100ms, 4 },
    { 10s, 700ms, 4 },
    { 0ms, 0ms, 10 },
    { 100ms, 0ms, 4 },
};

} // namespace

// The last report also moves the mean, by a quarter of a second in four seconds.
BOOST_DATA_TEST_CASE(differenceFromTheMeanDecaysWithTheTimeOfARequest, boost::unit_test::data::make(ages), test)
{
    load_forecast forecast;
    time_point now {};
    for (int report = 0; report < 100; ++report, now += 250ms)
        forecast.record(report < 99 ? 4 : 10, now);
    now -= 250ms;
    BOOST_TEST(std::abs(forecast.othersAt(now + test.age, test.requestTime) - test.expected) < 0.5);
}

// A server at which requests wait for their first token responds to none, so its last report is old and low.
BOOST_AUTO_TEST_CASE(serverThatReportsNothingCountsAsUsuallyLoaded)
{
    load_forecast forecast;
    forecast.record(0, time_point {});
    BOOST_TEST(forecast.othersAt(time_point {} + 1s, 200ms, 5) > 4.9);
    BOOST_TEST(forecast.othersAt(time_point {}, 200ms, 5) == 0);
    forecast.record(9, time_point {} + 2s);
    BOOST_TEST(forecast.othersAt(time_point {} + 2s, 200ms, 5) == 9);
}

// Requests that arrive and end independently, as at a server of a large fleet: the forecast errs less than the report itself.
BOOST_DATA_TEST_CASE(forecastErrsLessThanTheReport, boost::unit_test::data::make({ 300, 700, 1500 }), ageMs)
{
    constexpr double arrivalsPerSecond = 5;
    constexpr double requestSeconds = 0.7;
    const duration age = std::chrono::milliseconds { ageMs };
    std::mt19937 random { 2 };
    load_forecast forecast;
    time_point now {};
    double running = arrivalsPerSecond * requestSeconds;
    double forecastError = 0;
    double reportError = 0;
    for (int report = 0; report < 4000; ++report) {
        forecast.record(running, now);
        const double predicted = forecast.othersAt(now + age, std::chrono::milliseconds { 700 });
        const double reported = running;
        const double left = std::exp(-std::chrono::duration<double>(age).count() / requestSeconds);
        running = std::binomial_distribution<int> { static_cast<int>(running), left }(random) + std::poisson_distribution<int> { arrivalsPerSecond * requestSeconds * (1 - left) }(random);
        now += age;
        forecastError += std::abs(predicted - running);
        reportError += std::abs(reported - running);
    }
    BOOST_TEST_MESSAGE("report of " << ageMs << " ms: error " << forecastError / 4000 << " with the forecast, " << reportError / 4000 << " without");
    BOOST_TEST(forecastError < reportError);
}
