// Tests that relay_socket distinguishes a connection that its peer ended from one that was reset, also if a send reported the
// reset first.
#include "radishflow/Relay/relay_socket.h"
#include "radishflow/Support/boottime_clock.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>
#include <poll.h>
#include <string>
#include <string_view>

using namespace radishflow;
using namespace std::chrono_literals;

namespace {

struct ending_case {
    const char* name;
    bool isShutDownFirst; ///< The peer ends its sending side before it resets the connection.
    int sends; ///< Attempts to send after the reset.
    io_outcome expected; ///< Of receiving after the last byte.

    friend std::ostream& operator<<(std::ostream& out, const ending_case& testCase) { return out << testCase.name; }
};

const ending_case endings[] {
    { "reset", false, 0, io_outcome::Broken },
    { "reset, reported by a send", false, 1, io_outcome::Broken },
    { "reset, and two sends", false, 2, io_outcome::Broken },
    { "ended, then reset", true, 0, io_outcome::Ended },
    { "ended, then reset, reported by a send", true, 1, io_outcome::Ended },
    { "ended, then reset, and two sends", true, 2, io_outcome::Ended },
};

void waitForReset(const Poco::Net::StreamSocket& socket)
{
    constexpr int timeoutMs = 5000;
    pollfd polled { .fd = socket.impl()->sockfd(), .events = 0, .revents = 0 };
    BOOST_REQUIRE(::poll(&polled, 1, timeoutMs) == 1);
}

} // namespace

BOOST_DATA_TEST_CASE(resetIsNotReportedAsEnd, boost::unit_test::data::make(endings), testCase)
{
    constexpr std::string_view sent = "part";
    Poco::Net::ServerSocket listener { Poco::Net::SocketAddress { "127.0.0.1:0" } };
    Poco::Net::StreamSocket near { listener.address() };
    Poco::Net::StreamSocket far = listener.acceptConnection();
    far.sendBytes(sent.data(), static_cast<int>(sent.size()));
    if (testCase.isShutDownFirst)
        far.shutdownSend();
    far.setLinger(true, 0);
    far.close();
    waitForReset(near);
    relay_socket socket { near };
    const time_point deadline = boottime_clock {}.now() + 5s;
    for (int number = 0; number < testCase.sends; ++number)
        BOOST_TEST((socket.send("rest of a request", deadline) == io_outcome::Broken));
    BOOST_TEST((socket.receive(deadline) == io_outcome::Done));
    BOOST_TEST(socket.input() == sent);
    BOOST_TEST((socket.receive(deadline) == testCase.expected));
}
