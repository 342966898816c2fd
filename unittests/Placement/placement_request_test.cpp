// Tests the hash and the prefix name of a chat.
#include "radishflow/Placement/placement_request.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace radishflow;

BOOST_DATA_TEST_CASE(prefixNameRoundTrips, boost::unit_test::data::make({ std::uint64_t { 0 }, std::uint64_t { 0xab }, ~std::uint64_t { 0 } }), hash)
{
    std::uint64_t read = 1;
    BOOST_TEST(parsePrefixName(prefixName(hash), read));
    BOOST_TEST(read == hash);
}

BOOST_DATA_TEST_CASE(invalidPrefixNameIsRejected, boost::unit_test::data::make({ "", "ab", "000000000000000g", "00000000000000000" }), name)
{
    std::uint64_t read = 0;
    BOOST_TEST(!parsePrefixName(name, read));
}

// Servers are ranked for a chat by means of this hash, and daemons of different versions must rank them alike. The
// literal detects a change of the hash.
BOOST_AUTO_TEST_CASE(chatHashIsTheSameOnEveryHost)
{
    BOOST_TEST(hashOfChat(service_id { "assistant" }, chat_id { "chat-1" }) == 2201280145413644301U);
}
