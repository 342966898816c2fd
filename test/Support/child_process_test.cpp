// Tests that child_process doesn't pass file descriptors of the test on to the program.
#include "child_process.h"

#include <boost/test/unit_test.hpp>

#include <array>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace radishflow;

BOOST_AUTO_TEST_CASE(programInheritsNoConnection)
{
    std::array<int, 2> ends {};
    BOOST_REQUIRE(::socketpair(AF_UNIX, SOCK_STREAM, 0, ends.data()) == 0);
    const child_process program { { .program = "/bin/sleep", .arguments = { "5" }, .outputFile = "/dev/null" } };
    ::close(ends[1]);
    pollfd descriptor { .fd = ends[0], .events = POLLIN, .revents = 0 };
    BOOST_TEST(::poll(&descriptor, 1, 1000) == 1);
    ::close(ends[0]);
}
