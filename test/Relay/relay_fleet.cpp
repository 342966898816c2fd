// Implements relay_fleet: writes the daemons' settings, starts them and sends requests to them.
#include "relay_fleet.h"

#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>

#include <algorithm>
#include <csignal>
#include <fstream>
#include <map>
#include <random>
#include <sstream>
#include <stdexcept>
#include <unistd.h>

namespace radishflow {

// Ports of a daemon, as offsets from the base: for callers, readiness, lookups, metrics and gossip. The two ports after that of
// gossip carry hints and changes of tables, and the fourth one forwarded requests.
enum port_offset {
    CallerPort,
    ReadinessPort,
    LookupPort,
    MetricsPort,
    GossipPort,
};

// Listens on a loopback address that no daemon uses, which reserves the ports from its own one on for one fleet on this host.
static Poco::Net::ServerSocket reservePorts()
{
    // The ports stay below the kernel's range of ephemeral ports.
    constexpr int first = 20000;
    constexpr int step = 10;
    constexpr int choices = 1000;
    std::mt19937 random { static_cast<unsigned>(getpid()) };
    for (int attempt = 0; attempt < choices; ++attempt) {
        const auto port = static_cast<std::uint16_t>(first + step * static_cast<int>(random() % choices));
        Poco::Net::ServerSocket reservation;
        try {
            reservation.bind(Poco::Net::SocketAddress { "127.0.0.9", port }, true, false);
            reservation.listen();
            return reservation;
        } catch (const Poco::Net::NetException&) {
            continue; // Another fleet has these ports.
        }
    }
    throw std::runtime_error("all ports for fleets are reserved");
}

// Throws instead of using Boost.Test, because benchmarks use the fleet outside of test cases.
static void require(bool condition, const std::string& message)
{
    if (!condition)
        throw std::runtime_error(message);
}

relay_fleet::relay_fleet(const relay_fleet_options& options)
    : m_options(options)
    , m_folder(std::filesystem::temp_directory_path() / ("relay-fleet-" + std::to_string(getpid())))
    , m_portReservation(reservePorts())
    , m_port(m_portReservation.address().port())
{
    std::signal(SIGPIPE, SIG_IGN);
    std::filesystem::create_directories(m_folder);
    configure(1);
    for (int number = 0; number < options.servers; ++number) {
        m_servers.push_back(std::make_unique<server_standin>("i-" + std::to_string(number), options.services.at(static_cast<std::size_t>(number) % options.services.size()), !options.serverZone.empty() ? options.serverZone : number == 0 ? standinZone
                                                                                                                                                                                                                                            : "zb",
            options.versions.at(static_cast<std::size_t>(number) % options.versions.size())));
        m_servers.back()->setBehaviour(options.behaviour);
        if (options.isProxied) {
            m_serverLinks.push_back(std::make_unique<faulty_link>("127.0.0.1:" + std::to_string(m_servers.back()->port())));
            m_servers.back()->setListedPort(m_serverLinks.back()->port());
        }
        list(number);
    }
    for (int number = 0; options.hasServerPaths && number < options.daemons - (options.isLastDaemonDirect ? 1 : 0); ++number)
        addServerPaths(number);
    m_daemons.resize(static_cast<std::size_t>(options.daemons));
    for (std::size_t number = 0; number < m_daemons.size(); ++number)
        m_programs.push_back(options.programs.empty() ? currentProgram() : options.programs[number % options.programs.size()]);
    for (int number = 0; number < options.daemons; ++number) {
        if (options.isProxied) {
            m_storeLinks.push_back(std::make_unique<faulty_link>(storeAddress(number)));
            m_callerLinks.push_back(std::make_unique<faulty_link>(callerAddress(number)));
        }
        start(number);
    }
    for (int number = 0; number < options.daemons; ++number)
        require(waitReady(number), "daemon " + std::to_string(number) + " did not become ready");
    require(waitUntil(std::chrono::seconds { 10 }, [&] { return lookUp(0).size() == m_daemons.size(); }), "daemon 0 did not list all daemons within 10 s");
}

std::string relay_fleet::currentProgram()
{
    return std::string { RADISHFLOW_BINARIES } + "/radishflow-relayd";
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

std::uint16_t relay_fleet::listedPortOf(int number) const
{
    const auto index = static_cast<std::size_t>(number);
    return m_serverLinks.empty() ? m_servers.at(index)->port() : m_serverLinks.at(index)->port();
}

void relay_fleet::addServerPaths(int daemon)
{
    auto& paths = m_serverPaths.emplace_back();
    for (int number = 0; number < servers(); ++number)
        paths.push_back(std::make_unique<server_path>("127.0." + std::to_string(1 + daemon) + '.' + std::to_string(1 + number), listedPortOf(number)));
    m_storeViews.push_back(m_store.addView([this, daemon](const std::string& id, const std::string& value) {
        std::string rewritten = value;
        for (int number = 0; number < servers(); ++number) {
            const std::string direct = "127.0.0.1:" + std::to_string(listedPortOf(number));
            if (const auto at = value.find(direct); server(number).id() == id && at != std::string::npos)
                rewritten.replace(at, direct.size(), m_serverPaths.at(static_cast<std::size_t>(daemon)).at(static_cast<std::size_t>(number))->address());
        }
        return rewritten; }));
}

void relay_fleet::setServerPath(int daemon, int server, path_state state)
{
    m_serverPaths.at(static_cast<std::size_t>(daemon)).at(static_cast<std::size_t>(server))->set(state);
}

void relay_fleet::setServerPaths(int daemon, path_state state)
{
    for (const auto& path : m_serverPaths.at(static_cast<std::size_t>(daemon)))
        path->set(state);
}

int relay_fleet::connectionsToServers(int daemon) const
{
    int count = 0;
    for (const auto& path : m_serverPaths.at(static_cast<std::size_t>(daemon)))
        count += path->connections();
    return count;
}

std::string relay_fleet::storeAddress(int daemon) const
{
    if (static_cast<std::size_t>(daemon) < m_storeLinks.size())
        return "127.0.0.1:" + std::to_string(m_storeLinks[static_cast<std::size_t>(daemon)]->port());
    return static_cast<std::size_t>(daemon) < m_storeViews.size() ? m_storeViews[static_cast<std::size_t>(daemon)] : m_store.address();
}

void relay_fleet::start(int number)
{
    const std::string path = m_folder / ("daemon-" + std::to_string(number) + ".toml");
    std::ofstream { path } << writeSettings({
        .daemon = "d" + std::to_string(number),
        .ip = ipOf(number),
        .callerPort = portOf(CallerPort),
        .readinessPort = portOf(ReadinessPort),
        .lookupPort = portOf(LookupPort),
        .firstPeerPort = portOf(GossipPort),
        .storeAddress = storeAddress(number),
        .maxRevocationDelay = m_options.revocationDelay,
        .stopGrace = m_options.stopGrace,
        .isFirstStart = m_daemons[static_cast<std::size_t>(number)] == nullptr,
        .contracts = m_options.contracts,
    });
    std::vector<std::string> arguments { "--settings=" + path, "--metrics_port=" + std::to_string(portOf(MetricsPort)) };
    arguments.insert(arguments.end(), m_options.arguments.begin(), m_options.arguments.end());
    m_daemons[static_cast<std::size_t>(number)] = std::make_unique<child_process>(child_options {
        .program = m_programs[static_cast<std::size_t>(number)],
        .arguments = std::move(arguments),
        .outputFile = m_options.logFolder.empty() ? std::string {} : m_options.logFolder + "/daemon-" + std::to_string(number) + ".log",
        .startTimeout = std::chrono::milliseconds { 1 },
    });
}

void relay_fleet::restart(int number)
{
    start(number);
}

void relay_fleet::configure(int version, const std::string& workspaceKey, const std::string& without)
{
    configure({ .version = version, .workspaceKey = workspaceKey, .without = without });
}

void relay_fleet::configure(const standin_config& config)
{
    m_store.configure(writeConfig(config));
}

void relay_fleet::list(int server, const std::string& state, int coldForMs)
{
    m_store.list(m_servers.at(static_cast<std::size_t>(server))->id(), m_servers.at(static_cast<std::size_t>(server))->entry(state, coldForMs));
}

std::string relay_fleet::callerAddress(int daemon) const
{
    return ipOf(daemon) + ':' + std::to_string(portOf(CallerPort));
}

std::string relay_fleet::forwardingAddress(int daemon) const
{
    constexpr int forwardingOffset = 4; // From the first port between daemons.
    return ipOf(daemon) + ':' + std::to_string(portOf(GossipPort + forwardingOffset));
}

double relay_fleet::metric(int daemon, const std::string& nameAndLabels) const
{
    std::istringstream lines { httpCall({ .url = "http://" + ipOf(daemon) + ':' + std::to_string(portOf(MetricsPort)) + "/metrics" }).body };
    double sum = 0;
    for (std::string line; std::getline(lines, line);) {
        if (line.starts_with(nameAndLabels))
            sum += std::stod(line.substr(line.rfind(' ')));
    }
    return sum;
}

http_call_reply relay_fleet::call(int daemon, const std::string& path, const std::string& method, const std::string& withKey, const std::string& body)
{
    return httpCall({
        .method = method,
        .url = "http://" + callerAddress(daemon) + path,
        .headers = headersOf({ .id = "r" + std::to_string(++m_requests), .key = withKey, .timeLeft = std::chrono::seconds { 5 } }),
        .body = body,
    });
}

received_response relay_fleet::stream(int daemon, const std::string& path, const test_request& request)
{
    constexpr std::chrono::seconds timeout { 60 }; // Only ends a test that would hang.
    caller_connection connection;
    // A daemon that restarts refuses connections, which its callers count as requests that were not served.
    if (!connection.open(callerAddress(daemon)))
        return {};
    return connection.run(writeRequestHead("GET " + path + " HTTP/1.1", request, false), timeout);
}

std::pair<std::vector<std::string>, bool> relay_fleet::stream(int daemon, const std::string& path)
{
    const received_response response = stream(daemon, path, { .id = "r" + std::to_string(++m_requests), .key = key, .timeLeft = std::chrono::seconds { 9 } });
    if (response.status != 200)
        return {};
    std::vector<std::string> lines;
    std::istringstream text { response.body };
    for (std::string line; std::getline(text, line);)
        lines.push_back(line);
    return { lines, response.isComplete };
}

std::string relay_fleet::lookupAddress(int daemon) const
{
    return ipOf(daemon) + ':' + std::to_string(portOf(LookupPort));
}

std::vector<std::string> relay_fleet::lookUp(int daemon, std::chrono::milliseconds timeout) const
{
    const http_call_reply reply = httpCall({ .url = "http://" + lookupAddress(daemon) + lookupTarget(), .timeout = timeout });
    return reply.status == 200 ? readLookupResponse(reply.body) : std::vector<std::string> {};
}

bool relay_fleet::waitReady(int daemon, bool ready, std::chrono::milliseconds timeout) const
{
    const std::string url = "http://" + ipOf(daemon) + ':' + std::to_string(portOf(ReadinessPort)) + readinessTarget();
    return waitUntil(timeout, [&] { return (httpCall({ .url = url }).status == 200) == ready; });
}

int relay_fleet::runs() const
{
    int count = 0;
    for (const auto& server : m_servers)
        count += server->runs();
    return count;
}

int relay_fleet::ordersRunTwice() const
{
    std::map<std::string, int> runs;
    for (const auto& server : m_servers) {
        for (const received_request& received : server->seen()) {
            if (received.hasRun && received.target.starts_with("/order/"))
                ++runs[received.id];
        }
    }
    return static_cast<int>(std::count_if(runs.begin(), runs.end(), [](const auto& entry) { return entry.second > 1; }));
}

} // namespace radishflow
