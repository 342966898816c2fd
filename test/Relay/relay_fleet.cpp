// Implements the fleet of relaying daemons for tests.
#include "relay_fleet.h"

#include "radishflow/Relay/body_decoder.h"
#include "radishflow/Relay/parse_head.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <Poco/Net/StreamSocket.h>
#include <boost/test/unit_test.hpp>

#include <array>
#include <csignal>
#include <fstream>
#include <random>
#include <sstream>
#include <stdexcept>
#include <unistd.h>

namespace radishflow {

// Ports of one daemon, counted from the base: its callers, its readiness, its lookups, its metrics, its gossip.
enum port_offset {
    CallerPort,
    ReadinessPort,
    LookupPort,
    MetricsPort,
    GossipPort,
};

static int freePortBase()
{
    // Ports below the range from which the kernel takes those of outgoing connections.
    constexpr int first = 20000;
    constexpr int step = 10;
    constexpr int choices = 1000;
    std::mt19937 random { static_cast<unsigned>(getpid()) };
    return first + step * static_cast<int>(random() % choices);
}

// Benchmarks use the fleet without a test case, so what fails is thrown.
static void requireThat(bool isTrue, const std::string& otherwise)
{
    if (!isTrue)
        throw std::runtime_error(otherwise);
}

relay_fleet::relay_fleet(const relay_fleet_options& options)
    : m_options(options)
    , m_folder(std::filesystem::temp_directory_path() / ("relay-fleet-" + std::to_string(getpid())))
    , m_port(freePortBase())
{
    std::signal(SIGPIPE, SIG_IGN);
    std::filesystem::create_directories(m_folder);
    configure(1);
    for (int number = 0; number < options.servers; ++number) {
        m_servers.push_back(std::make_unique<server_standin>("i-" + std::to_string(number), "svc", number == 0 ? "za" : "zb"));
        m_servers.back()->setBehaviour(options.behaviour);
        if (options.isProxied) {
            m_serverLinks.push_back(std::make_unique<faulty_link>("127.0.0.1:" + std::to_string(m_servers.back()->port())));
            m_servers.back()->setListedPort(m_serverLinks.back()->port());
        }
        list(number);
    }
    m_daemons.resize(static_cast<std::size_t>(options.daemons));
    for (int number = 0; number < options.daemons; ++number) {
        if (options.isProxied) {
            m_storeLinks.push_back(std::make_unique<faulty_link>(m_store.address()));
            m_callerLinks.push_back(std::make_unique<faulty_link>(callerAddress(number)));
        }
        start(number);
    }
    for (int number = 0; number < options.daemons; ++number)
        requireThat(waitReady(number), "daemon " + std::to_string(number) + " is not ready");
    requireThat(waitUntil([&] { return lookUp(0).size() == m_daemons.size(); }, std::chrono::seconds { 10 }), "the first daemon doesn't name all daemons");
}

relay_fleet::~relay_fleet()
{
    m_daemons.clear();
    std::filesystem::remove_all(m_folder);
}

std::string relay_fleet::ipOf(int daemon) const
{
    return "127.0.0." + std::to_string(10 + daemon);
}

std::string relay_fleet::storeAddress(int daemon) const
{
    return m_storeLinks.empty() ? m_store.address() : "127.0.0.1:" + std::to_string(m_storeLinks.at(static_cast<std::size_t>(daemon))->port());
}

void relay_fleet::start(int number)
{
    const std::string ip = ipOf(number);
    const std::string path = m_folder / ("daemon-" + std::to_string(number) + ".toml");
    std::ofstream { path } << "node = \"d" << number << "\"\nip = \"" << ip << "\"\nzone = \"za\"\nregion = \"ra\"\n"
                           << "port_range = [" << m_port + GossipPort << ", " << m_port + GossipPort + 1 << "]\nseeds = []\n"
                           << "[listen]\nfront = \"" << ip << ':' << m_port + CallerPort << "\"\nready = \"" << ip << ':' << m_port + ReadinessPort << "\"\n"
                           << "directory = \"" << ip << ':' << m_port + LookupPort << "\"\n"
                           << "[bounds]\nrevoke_strict = true\nrevoke_ms = " << keyRevocation.count() << "\ngrace_s = " << stopGrace.count() / 1000 << "\nretry_budget = 0.2\nretry_slack = 54\n"
                           << "[platform]\naddr = \"" << storeAddress(number) << "\"\n";
    m_daemons[static_cast<std::size_t>(number)] = std::make_unique<child_process>(child_options {
        .program = std::string { RADISHFLOW_BINARIES } + "/radishflow-relayd",
        .arguments = { "--settings=" + path, "--metrics_port=" + std::to_string(m_port + MetricsPort) },
        .outputFile = m_options.logFolder.empty() ? std::string {} : m_options.logFolder + "/daemon-" + std::to_string(number) + ".log",
        .startBound = std::chrono::milliseconds { 1 },
    });
}

void relay_fleet::restart(int number)
{
    start(number);
}

void relay_fleet::configure(int version, const std::string& workspaceKey, const std::string& without)
{
    std::string routes;
    const auto add = [&](const std::string& name, const std::string& rest) {
        if (name == without)
            return;
        routes += (routes.empty() ? "" : ",") + std::string { R"({"name":")" } + name + R"(","host":"h","prefix":"/)" + name + R"(/","service":"svc","priority":1,)" + rest + "}";
    };
    add("read", R"("kind":"safe","timeout_ms":800,"goal_ms":300,"attempts":2)");
    add("order", R"("kind":"unsafe","timeout_ms":800,"goal_ms":300,"attempts":1)");
    add("stream", R"("kind":"stream","timeout_ms":10000,"goal_ms":600,"attempts":1)");
    add("resumable-stream", R"("kind":"stream","timeout_ms":10000,"goal_ms":600,"attempts":2,"resumable":true)");
    add("v" + std::to_string(version), R"("kind":"safe","timeout_ms":800,"goal_ms":300,"attempts":2,"public":true)");
    add("public", R"("kind":"safe","timeout_ms":800,"goal_ms":300,"attempts":2,"public":true)");
    m_store.put("op", "config", R"({"version":)" + std::to_string(version) + R"(,"routes":[)" + routes + R"(],"services":[{"name":"svc","cold_per_s":10.0}],"limits":{"max_header_bytes":16384,"max_body_bytes":100000,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[{"name":"w","api_keys":[")" + workspaceKey + R"("]}]})");
}

void relay_fleet::list(int server, const std::string& state, int coldForMs)
{
    m_store.put("servers", m_servers.at(static_cast<std::size_t>(server))->id(), m_servers.at(static_cast<std::size_t>(server))->entry(state, coldForMs));
}

std::string relay_fleet::callerAddress(int daemon) const
{
    return ipOf(daemon) + ':' + std::to_string(m_port + CallerPort);
}

http_call_reply relay_fleet::call(int daemon, const std::string& path, const std::string& method, const std::string& withKey, const std::string& body)
{
    return httpCall({
        .method = method,
        .url = "http://" + callerAddress(daemon) + path,
        .headers = { { "Host", "h" }, { "X-Request-Id", "r" + std::to_string(++m_requests) }, { "X-Deadline-Ms", "5000" }, { "Api-Key", withKey } },
        .body = body,
    });
}

std::pair<std::vector<std::string>, bool> relay_fleet::stream(int daemon, const std::string& path)
{
    // POCO's client takes a body that lacks its last chunk for whole, so the relay's own decoder reads it.
    Poco::Net::StreamSocket socket { Poco::Net::SocketAddress { callerAddress(daemon) } };
    const std::string request = "GET " + path + " HTTP/1.1\r\nHost: h\r\nX-Request-Id: r" + std::to_string(++m_requests) + "\r\nX-Deadline-Ms: 9000\r\nApi-Key: " + key + "\r\nConnection: close\r\n\r\n";
    socket.sendBytes(request.data(), static_cast<int>(request.size()));
    std::string received;
    std::array<char, 4096> buffer {};
    try {
        for (int count = 0; (count = socket.receiveBytes(buffer.data(), buffer.size())) > 0;)
            received.append(buffer.data(), static_cast<std::size_t>(count));
    } catch (const Poco::Exception&) {
        BOOST_TEST_MESSAGE("the stream was reset");
    }
    response_head head;
    std::size_t length = 0;
    constexpr std::size_t mostHeadBytes = 4096;
    if (parseResponseHead(received, mostHeadBytes, head, length) != parse_state::Whole || head.status != 200)
        return {};
    received.erase(0, length);
    std::string body;
    const bool isWhole = body_decoder::ofResponse(head, false)->feed(received, body) == body_decoder::state::Whole;
    std::vector<std::string> lines;
    std::istringstream text { body };
    for (std::string line; std::getline(text, line);)
        lines.push_back(line);
    return { lines, isWhole };
}

std::vector<std::string> relay_fleet::lookUp(int daemon, std::chrono::milliseconds bound) const
{
    const http_call_reply reply = httpCall({ .url = "http://" + ipOf(daemon) + ':' + std::to_string(m_port + LookupPort) + "/lookup?name=h&region=ra&zone=za", .timeout = bound });
    std::vector<std::string> addresses;
    if (reply.status != 200)
        return addresses;
    const auto array = Poco::JSON::Parser {}.parse(reply.body).extract<Poco::JSON::Object::Ptr>()->getArray("addrs");
    for (std::size_t index = 0; index < array->size(); ++index)
        addresses.push_back(array->getElement<std::string>(static_cast<unsigned>(index)));
    return addresses;
}

bool relay_fleet::waitReady(int daemon, bool ready, std::chrono::milliseconds bound) const
{
    const std::string url = "http://" + ipOf(daemon) + ':' + std::to_string(m_port + ReadinessPort) + "/readyz";
    return waitUntil([&] { return (httpCall({ .url = url }).status == 200) == ready; }, bound);
}

int relay_fleet::runs() const
{
    int all = 0;
    for (const auto& server : m_servers)
        all += server->runs();
    return all;
}

} // namespace radishflow
