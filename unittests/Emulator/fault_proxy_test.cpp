// Tests each rule of the fault proxy, for connections with a plain service behind it and for datagrams.
#include "radishflow/Emulator/fault_proxy.h"
#include "radishflow/Emulator/plain_emulator.h"

#include "delayed_bytes.h"
#include "emulator_caller.h"

#include <Poco/Net/DatagramSocket.h>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <array>
#include <vector>

using namespace radishflow;
using std::chrono::milliseconds;
using steady = std::chrono::steady_clock;

namespace {

struct proxied_service {
    plain_emulator service { {}, {} };
    fault_proxy proxy { {}, { .target = "127.0.0.1:" + std::to_string(service.port()) } };
    emulator_caller caller { proxy.port() };
    emulator_caller control { proxy.controlPort() };

    /// Calls through the proxy, by default with a short timeout.
    http_call_reply call(const std::string& body = {}, milliseconds timeout = milliseconds { 200 }) const
    {
        http_call_request request = caller.request("POST", "/x", body, { { "Idempotency-Key", "k" } });
        request.timeout = timeout;
        return httpCall(request);
    }

    std::int64_t executions() const
    {
        return emulator_caller { service.port() }.record()->getObject("executions")->optValue<Poco::Int64>("k", 0);
    }

    /// Returns which of 24 calls were cut, as a text of 0 and 1.
    std::string cutsWith(const std::string& faults) const
    {
        control.setFaults(faults);
        std::string cuts;
        for (int count = 0; count < 24; ++count)
            cuts += call(std::string(600, 'x')).error.empty() ? '0' : '1';
        return cuts;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(faultProxy, proxied_service)

BOOST_AUTO_TEST_CASE(relaysWholeAnswersWithoutRules)
{
    const std::string body(300'000, 'b');
    BOOST_TEST((call(body).body.find(body) != std::string::npos));
    BOOST_TEST(control.recorded("accepted") == 1);
    BOOST_TEST(control.recorded("bytes_up") > 300'000);
}

BOOST_AUTO_TEST_CASE(delaysBothWays)
{
    control.setFaults(R"({"delay_ms": 60})");
    const auto begin = steady::now();
    BOOST_TEST(call().status == 200);
    BOOST_TEST((steady::now() - begin >= milliseconds { 120 }));
}

BOOST_AUTO_TEST_CASE(cutClosesAndRefuses)
{
    control.setFaults(R"({"half_open": true})");
    http_call_reply waiting { .status = -1 };
    const auto begin = steady::now();
    std::thread other { [&] { waiting = httpCall(caller.request("POST", "/x")); } };
    BOOST_TEST(becomesTrue([&] { return control.recorded("accepted") == 1; }));
    control.setFaults(R"({"cut": true, "half_open": false})");
    other.join();
    BOOST_TEST(waiting.status == 0);
    BOOST_TEST((steady::now() - begin < milliseconds { 2500 }));
    BOOST_TEST(!call().isConnected);
    control.setFaults(R"({"cut": false})");
    BOOST_TEST(call().status == 200);
}

BOOST_AUTO_TEST_CASE(halfOpenAcceptsAndStaysSilentUntilLifted)
{
    control.setFaults(R"({"half_open": true})");
    const http_call_reply silent = call();
    BOOST_TEST(silent.isConnected);
    BOOST_TEST(silent.status == 0);
    BOOST_TEST(executions() == 0);
    control.setFaults(R"({"half_open": false})");
    BOOST_TEST(call().status == 200);
}

BOOST_DATA_TEST_CASE(oneWayLosesOnlyThatWay, boost::unit_test::data::make({ true, false }), isUp)
{
    control.setFaults(isUp ? R"({"one_way": "up"})" : R"({"one_way": "down"})");
    BOOST_TEST(call().status == 0);
    BOOST_TEST(control.recorded("bytes_dropped") > 0);
    BOOST_TEST(executions() == (isUp ? 0 : 1));
    control.setFaults(R"({"one_way": ""})");
    BOOST_TEST(call().status == 200);
}

BOOST_AUTO_TEST_CASE(closesAStreamThatLostBytes)
{
    control.setFaults(R"({"one_way": "up"})");
    http_call_reply waiting { .status = -1 };
    std::thread other { [&] { waiting = httpCall(caller.request("POST", "/x", "body", { { "Idempotency-Key", "k" } })); } };
    BOOST_TEST(becomesTrue([&] { return control.recorded("bytes_dropped") > 0; }));
    const auto begin = steady::now();
    control.setFaults(R"({"one_way": ""})");
    other.join();
    BOOST_TEST(waiting.status == 0);
    BOOST_TEST((steady::now() - begin < milliseconds { 2500 }));
    BOOST_TEST(executions() == 0);
}

BOOST_AUTO_TEST_CASE(throttles)
{
    control.setFaults(R"({"throttle_bytes_per_s": 100000})");
    const auto begin = steady::now();
    BOOST_TEST(call(std::string(30'000, 'x'), milliseconds { 3000 }).status == 200);
    BOOST_TEST((steady::now() - begin >= milliseconds { 250 }));
}

BOOST_AUTO_TEST_CASE(cutsTheSameConnectionsForTheSameSeed)
{
    const std::string first = cutsWith(R"({"seed": 7, "cut_probability": 0.5})");
    BOOST_TEST(first.find('1') != std::string::npos);
    BOOST_TEST(first.find('0') != std::string::npos);
    BOOST_TEST(cutsWith(R"({"seed": 7})") == first);
    BOOST_TEST(cutsWith(R"({"seed": 8})") != first);
    BOOST_TEST(cutsWith(R"({"cut_probability": 0})") == std::string(24, '0'));
    BOOST_TEST(cutsWith(R"({"cut_probability": 1})") == std::string(24, '1'));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(holdsBytesUntilDueAndHandsThemOutAtTheRate)
{
    const time_point start { std::chrono::hours { 1 } };
    delayed_bytes bytes;
    bytes.push(std::string(100, 'x'), start + milliseconds { 10 });
    bytes.end(start + milliseconds { 10 });
    BOOST_TEST(bytes.ready(start, 0).empty());
    BOOST_TEST(bytes.ready(start + milliseconds { 10 }, 0).size() == 100U);
    std::size_t passed = 0;
    for (milliseconds step { 10 }; step < milliseconds { 510 }; step += milliseconds { 10 }) {
        const std::size_t count = bytes.ready(start + step, 100).size();
        bytes.consume(count);
        passed += count;
    }
    BOOST_TEST(passed >= 48U);
    BOOST_TEST(passed <= 55U);
    BOOST_TEST(!bytes.isFinished(start + milliseconds { 510 }));
}

namespace {

/// Two sockets with the proxy between them.
struct proxied_datagrams {
    Poco::Net::DatagramSocket target { Poco::Net::SocketAddress { "127.0.0.1:0" } };
    fault_proxy proxy { {}, { .target = target.address().toString(), .transport = proxy_transport::Udp } };
    Poco::Net::DatagramSocket sender { Poco::Net::SocketAddress { "127.0.0.1:0" } };
    emulator_caller control { proxy.controlPort() };

    void send(const std::string& text) { sender.sendTo(text.data(), static_cast<int>(text.size()), { "127.0.0.1", proxy.port() }); }

    /// Returns the next datagram, or an empty text when none comes within 150 ms.
    static std::string receive(Poco::Net::DatagramSocket& socket, Poco::Net::SocketAddress& from)
    {
        if (!socket.poll(Poco::Timespan { 150'000 }, Poco::Net::Socket::SELECT_READ))
            return {};
        std::array<char, 256> buffer {};
        return { buffer.data(), static_cast<std::size_t>(socket.receiveFrom(buffer.data(), buffer.size(), from)) };
    }

    /// Sends there and back; returns where the text got to.
    std::string roundTrip()
    {
        Poco::Net::SocketAddress from;
        send("ask");
        if (receive(target, from) != "ask")
            return "lost up";
        target.sendTo("answer", 6, from);
        return receive(sender, from) == "answer" ? "whole" : "lost down";
    }
};

struct datagram_case {
    const char* faults;
    const char* outcome;
};

std::ostream& operator<<(std::ostream& out, const datagram_case& each)
{
    return out << each.faults;
}

const datagram_case datagramCases[] = {
    { R"({})", "whole" },
    { R"({"delay_ms": 20})", "whole" },
    { R"({"one_way": "up"})", "lost up" },
    { R"({"one_way": "down"})", "lost down" },
    { R"({"cut": true})", "lost up" },
    { R"({"half_open": true})", "lost up" },
    { R"({"cut_probability": 1})", "lost up" },
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(datagramProxy, proxied_datagrams)

BOOST_DATA_TEST_CASE(treatsDatagramsByTheRules, boost::unit_test::data::make(datagramCases), each)
{
    BOOST_TEST(roundTrip() == "whole");
    control.setFaults(each.faults);
    BOOST_TEST(roundTrip() == each.outcome);
}

BOOST_AUTO_TEST_CASE(delaysDatagrams)
{
    control.setFaults(R"({"delay_ms": 40})");
    const auto begin = steady::now();
    BOOST_TEST(roundTrip() == "whole");
    BOOST_TEST((steady::now() - begin >= milliseconds { 80 }));
}

BOOST_AUTO_TEST_CASE(dropsTheSameDatagramsForTheSameSeed)
{
    const auto received = [&] {
        control.setFaults(R"({"seed": 3, "cut_probability": 0.5})");
        for (char letter = 'a'; letter < 'q'; ++letter)
            send(std::string(1, letter));
        std::string text;
        Poco::Net::SocketAddress from;
        for (std::string next = receive(target, from); !next.empty(); next = receive(target, from))
            text += next;
        return text;
    };
    const std::string first = received();
    BOOST_TEST(first.size() > 0U);
    BOOST_TEST(first.size() < 16U);
    BOOST_TEST(received() == first);
}

BOOST_AUTO_TEST_SUITE_END()
