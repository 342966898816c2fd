// Tests the lifetime of the entries of recent_map and the bound on their number.
#include "radishflow/Support/recent_map.h"

#include <boost/test/unit_test.hpp>

using namespace radishflow;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_CASE(entriesExpireAfterTheirLifetime)
{
    const time_point start { 1h };
    recent_map<int, int> map { 60s, 100 };
    map.set(1, 5, start);
    for (auto age = 0s; age < 200s; age += 10s) {
        map.set(2, 6, start + age);
        if (age < 60s)
            BOOST_TEST((map.find(1, start + age) == 5));
        if (age >= 120s)
            BOOST_TEST(!map.find(1, start + age));
        BOOST_TEST((map.find(2, start + age) == 6));
    }
    BOOST_TEST(!map.find(2, start + 400s));
}

BOOST_AUTO_TEST_CASE(numberOfEntriesIsBounded)
{
    recent_map<int, int> map { 60s, 100 };
    for (int key = 0; key < 1000; ++key)
        map.set(key, key, time_point { 1h });
    BOOST_TEST(map.size() <= 200U);
    BOOST_TEST((map.find(999, time_point { 1h }) == 999));
}
