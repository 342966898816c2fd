// Tests authentication codes against a vector of RFC 4231, and the replacement of keys.
#include "radishflow/Gossip/datagram_authenticator.h"

#include <boost/test/unit_test.hpp>

using namespace radishflow;

BOOST_AUTO_TEST_CASE(codeIsTruncatedHmacSha256)
{
    // Test case 2 of RFC 4231.
    datagram_authenticator authenticator({ "Jefe" });
    std::string datagram = "what do ya want for nothing?";
    const std::size_t length = datagram.size();
    for (int turn = 0; turn < 2; ++turn) {
        std::string copy = datagram;
        authenticator.sign(copy);
        const std::string expected("\x5b\xdc\xc1\x46\xbf\x60\x75\x4e\x6a\x04\x24\x26\x08\x95\x75\xc7", 16);
        BOOST_TEST(copy.substr(length) == expected);
    }
}

BOOST_AUTO_TEST_CASE(anyConfiguredKeyVerifiesAndOthersAreRejected)
{
    datagram_authenticator old({ "old" });
    datagram_authenticator both({ "new", "old" });
    datagram_authenticator stranger({ "other" });
    std::string datagram = "hello";
    old.sign(datagram);
    BOOST_TEST((both.verify(datagram) == std::optional<std::string_view>("hello")));
    BOOST_TEST(!stranger.verify(datagram).has_value());
    datagram = "hello";
    both.sign(datagram);
    BOOST_TEST(!old.verify(datagram).has_value());
    datagram[0] = 'j';
    BOOST_TEST(!both.verify(datagram).has_value());
    BOOST_TEST(!both.verify("short").has_value());
}
