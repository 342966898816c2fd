// Tests that callers that send slowly, stop in the middle of a request, send oversized bodies or send malformed requests
// never prevent a daemon from serving others.
#include "radishflow/Emulator/expected_answer.h"

#include "test_fleet.h"

#include <Poco/Exception.h>
#include <Poco/Net/StreamSocket.h>
#include <boost/test/unit_test.hpp>

#include <chrono>
#include <fstream>
#include <random>
#include <string>
#include <thread>
#include <vector>

using namespace radishflow;
using namespace std::chrono_literals;
using std::chrono::steady_clock;

static double residentMegabytes(pid_t pid)
{
    std::ifstream status { "/proc/" + std::to_string(pid) + "/status" };
    for (std::string word; status >> word;) {
        double kilobytes = 0;
        if (word == "VmRSS:" && status >> kilobytes)
            return kilobytes / 1024;
    }
    return 0;
}

static Poco::Net::StreamSocket connectTo(const std::string& address)
{
    Poco::Net::StreamSocket socket { Poco::Net::SocketAddress { address } };
    socket.setReceiveTimeout(Poco::Timespan { 2, 0 });
    socket.setSendTimeout(Poco::Timespan { 2, 0 });
    return socket;
}

// Sends the bytes and ignores failures, since the daemon may refuse the request and close the connection at any byte.
static void trySend(Poco::Net::StreamSocket& socket, const std::string& bytes)
{
    try {
        socket.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
    } catch (const Poco::Exception&) {
        return;
    }
}

static const std::vector<std::string> validRequests {
    "GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n",
    "GET /v1/addresses?zone=za&tickets=3&workspace=desk HTTP/1.1\r\nHost: a\r\n\r\n",
    "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nX-Workspace: desk\r\nPriority: u=3\r\nContent-Length: 2\r\n\r\n{}",
    "POST /services/records/orders HTTP/1.1\r\nHost: a\r\nX-Workspace: nobody\r\nIdempotency-Key: k\r\nContent-Length: 2\r\n\r\n{}",
    "GET /debug/state HTTP/1.1\r\nHost: a\r\nX-Timeout-Ms: 1\r\nConnection: keep-alive\r\n\r\n",
};

template <typename Random>
static std::string makeMalformedRequest(Random& random)
{
    std::string bytes = validRequests[random() % validRequests.size()];
    const int changes = static_cast<int>(random() % 6);
    for (int change = 0; change < changes; ++change) {
        const std::size_t position = random() % bytes.size();
        switch (random() % 4) {
        case 0:
            bytes[position] = static_cast<char>(random() % 256);
            break;
        case 1:
            bytes.insert(position, random() % 64, static_cast<char>(random() % 256));
            break;
        case 2:
            bytes.erase(position, random() % 16);
            break;
        default:
            bytes.insert(position, bytes.substr(position, random() % 32));
        }
        if (bytes.empty())
            return "\r\n";
    }
    return bytes;
}

static constexpr int slowCallerCount = 40;
static constexpr int malformedRequests = 3000;
static constexpr double maxMemoryGrowthMegabytes = 24;

BOOST_AUTO_TEST_CASE(daemonServesOrdinaryCallersWhileOthersSendSlowOrMalformedRequests)
{
    test_fleet fleet { { .zones = { "za" }, .daemons = 1, .engines = 1 } };
    BOOST_REQUIRE(fleet.isReady());
    const fleet_member& daemon = fleet.daemons()[0];
    const std::string expected = expectedAnswer("hydro-large", "level", 3);
    BOOST_REQUIRE(contentOf(fleet.chat(daemon, "warm", "level", 3).body) == expected);
    const double memoryBefore = residentMegabytes(daemon.process->pid());

    std::vector<Poco::Net::StreamSocket> slowCallers;
    for (int index = 0; index < slowCallerCount; ++index) {
        slowCallers.push_back(connectTo(daemon.http));
        const std::string& request = validRequests[static_cast<std::size_t>(index) % validRequests.size()];
        trySend(slowCallers.back(), request.substr(0, request.size() / 2));
        if (index % 4 == 0)
            slowCallers.back().shutdownSend();
    }
    std::mt19937 random { 20260 };
    const auto end = steady_clock::now() + 20s;
    int sent = 0;
    int served = 0;
    int ordinaryRequests = 0;
    for (; sent < malformedRequests && steady_clock::now() < end; ++sent) {
        Poco::Net::StreamSocket socket = connectTo(daemon.http);
        trySend(socket, makeMalformedRequest(random));
        if (sent % 100 == 0) {
            for (Poco::Net::StreamSocket& slowCaller : slowCallers)
                trySend(slowCaller, "x");
            trySend(socket, "POST /services/records/x HTTP/1.1\r\nContent-Length: 9000000\r\n\r\n" + std::string(200000, 'x'));
            ++ordinaryRequests;
            served += contentOf(fleet.chat(daemon, "c" + std::to_string(sent), "level", 3).body) == expected ? 1 : 0;
        }
    }
    const double memoryAfter = residentMegabytes(daemon.process->pid());
    BOOST_TEST_MESSAGE("sent " << sent << ", served " << served << " of " << ordinaryRequests << ", resident " << memoryBefore << " to " << memoryAfter << " MB");
    BOOST_TEST(sent == malformedRequests);
    BOOST_TEST(served == ordinaryRequests);
    BOOST_TEST(memoryAfter - memoryBefore < maxMemoryGrowthMegabytes);
    BOOST_TEST(!daemon.process->wait(0ms).has_value());
    // Slow callers occupy worker threads no longer than the time limit of a request.
    const bool areDisconnected = waitUntil(12s, [&] {
        for (Poco::Net::StreamSocket& slowCaller : slowCallers) {
            if (!slowCaller.poll(Poco::Timespan { 0 }, Poco::Net::Socket::SELECT_READ))
                return false;
        }
        return true;
    });
    BOOST_TEST(areDisconnected);
    BOOST_TEST(contentOf(fleet.chat(daemon, "last", "level", 3).body) == expected);
}
