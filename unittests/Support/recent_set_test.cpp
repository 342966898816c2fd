// Tests the lifetime of the elements of recent_set and the bound on their number.
#include "radishflow/Support/recent_set.h"

#include <boost/test/unit_test.hpp>

using namespace radishflow;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_CASE(elementsExpireAfterTheirLifetime)
{
    const time_point start { 1h };
    recent_set<int> set { 60s, 100 };
    set.insert(1, start);
    for (auto age = 0s; age < 200s; age += 10s) {
        set.insert(2, start + age);
        const bool isExpected = age < 60s;
        if (isExpected || age >= 120s)
            BOOST_TEST(set.contains(1, start + age) == isExpected);
        BOOST_TEST(set.contains(2, start + age));
    }
    BOOST_TEST(!set.contains(2, start + 400s));
}

BOOST_AUTO_TEST_CASE(sizeIsBounded)
{
    recent_set<int> set { 60s, 100 };
    for (int element = 0; element < 1000; ++element)
        set.insert(element, time_point { 1h });
    BOOST_TEST(set.size() <= 200U);
    BOOST_TEST(set.contains(999, time_point { 1h }));
}
