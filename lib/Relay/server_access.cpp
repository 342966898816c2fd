// Implements the probes that decide whether this daemon reaches the backend servers of a service.
#include "radishflow/Relay/server_access.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <iterator>
#include <optional>
#include <poll.h>
#include <random>
#include <set>
#include <utility>

namespace radishflow {

// Interval of the checks for silence; a doubt raised by a failed connection is probed at once.
static constexpr std::chrono::milliseconds checkInterval { 200 };
// Interval while no server is reached: of probes by the monitor, and of questions to other daemons.
static constexpr std::chrono::milliseconds unavailableInterval { 50 };
// A running server accepts connections within a few milliseconds.
static constexpr std::chrono::milliseconds firstProbeTimeout { 150 };
static constexpr std::chrono::milliseconds probeTimeout { 250 };
static constexpr std::chrono::milliseconds otherServerTimeout { 100 };
static constexpr std::size_t serversPerProbe = 4; // Of the probes after the first.
static constexpr std::size_t otherServersToProbe = 2;
// A daemon that was suspended or runs slowly finds its timeouts expired although the servers responded in time.
static constexpr int lateFactor = 2; // Multiple of the timeout beyond which a failed probe does not count.
// Time for the probes, and for the answers of other daemons to arrive.
static constexpr std::chrono::milliseconds maxDecisionTime { 700 };
static constexpr std::chrono::milliseconds decisionPollInterval { 10 };
// The paths of a daemon to all servers may be cut one after the other within this time.
static constexpr std::chrono::milliseconds crashConfirmationDelay { 30 };
static constexpr std::chrono::milliseconds maxCrashDecisionTime { 250 };
// Age of the last contact beyond which a question is answered after a probe.
static constexpr std::chrono::milliseconds maxIdleContactAge { 50 };
// Answers before it could not show that servers were reached after the doubt was raised.
static constexpr std::chrono::milliseconds firstQuestionDelay { 100 };
static constexpr std::chrono::milliseconds maxQuestionDelay { 1000 };
static constexpr std::size_t maxAskers = 256;
static constexpr std::chrono::seconds maxPublishedAge { 10 }; // Older contacts are of no use to other daemons.

server_access::server_access(const shared_routing& routing, server_access_handlers handlers)
    : m_routing(routing)
    , m_handlers(std::move(handlers))
    , m_thread([this] { run(); })
{
}

server_access::~server_access()
{
    {
        const std::lock_guard lock { m_mutex };
        m_isStopping = true;
    }
    m_changed.notify_all();
    m_thread.join();
}

void server_access::wake()
{
    {
        const std::lock_guard lock { m_mutex };
        m_isWoken = true;
    }
    m_changed.notify_all();
}

server_access::service_state& server_access::stateOf(const service_id& service)
{
    const std::lock_guard lock { m_servicesMutex };
    auto& state = m_services[service];
    if (!state)
        state = std::make_unique<service_state>(m_clock);
    return *state;
}

std::vector<server_access::service_entry*> server_access::services()
{
    const std::lock_guard lock { m_servicesMutex };
    std::vector<service_entry*> entries;
    entries.reserve(m_services.size());
    for (service_entry& entry : m_services)
        entries.push_back(&entry);
    return entries;
}

server_access_monitor<boottime_clock>& server_access::monitorOf(const service_id& service)
{
    return stateOf(service).monitor;
}

void server_access::recordConnectFailure(const listed_server& server)
{
    const auto servers = m_routing.servers();
    if (stateOf(server.service).monitor.recordConnectFailure(server.id, servers ? servers->serversOf(server.service).size() : 0))
        wake();
}

bool server_access::isLost(const service_id& service)
{
    const auto& monitor = stateOf(service).monitor;
    return monitor.state() == server_access_state::Unavailable && m_peers.hasPeer(*m_routing.fleet(), serviceHashOf(service), monitor.doubtBeganAt());
}

bool server_access::awaitDecision(const service_id& service, const std::function<bool()>& isCancelled)
{
    const auto& monitor = stateOf(service).monitor;
    while (monitor.state() != server_access_state::Available) {
        if (isLost(service))
            return true;
        if (m_clock.now() - monitor.doubtBeganAt() > maxDecisionTime || isCancelled())
            return false;
        std::this_thread::sleep_for(decisionPollInterval);
    }
    return false;
}

// A service that was not used since the loss of another one shows nothing.
bool server_access::hasLostAll()
{
    std::optional<time_point> lostAt;
    for (const service_entry* entry : services()) {
        if (isLost(entry->first))
            lostAt = std::max(lostAt.value_or(time_point {}), entry->second->monitor.doubtBeganAt());
    }
    if (!lostAt)
        return false;
    for (const service_entry* entry : services()) {
        const auto age = entry->second->monitor.contactAge();
        if (age && m_clock.now() - *age > *lostAt)
            return false;
    }
    return true;
}

void server_access::suspectCrash(const listed_server& server)
{
    const std::lock_guard lock { m_mutex };
    m_suspects.try_emplace(server.id, server, m_clock.now() + crashConfirmationDelay);
    m_isWoken = true;
    m_changed.notify_all();
}

void server_access::awaitCrashDecision(const server_id& server)
{
    const time_point deadline = m_clock.now() + maxCrashDecisionTime;
    while (m_clock.now() < deadline) {
        {
            const std::lock_guard lock { m_mutex };
            if (!m_suspects.contains(server))
                return;
        }
        std::this_thread::sleep_for(decisionPollInterval);
    }
}

// While the path of this daemon is cut, all hosts seem to refuse connections, but not all from the same moment on.
void server_access::confirmCrashes()
{
    std::set<server_id> suspects;
    std::vector<listed_server> due;
    {
        const std::lock_guard lock { m_mutex };
        const time_point now = m_clock.now();
        for (const auto& [id, suspect] : m_suspects) {
            suspects.insert(id);
            if (suspect.second <= now)
                due.push_back(suspect.first);
        }
    }
    std::map<service_id, bool> reached;
    for (const listed_server& server : due) {
        const auto [entry, isNew] = reached.try_emplace(server.service, false);
        if (isNew)
            entry->second = stateOf(server.service).monitor.state() == server_access_state::Available && reachesOtherServer(server.service, suspects);
        if (entry->second)
            m_handlers.onCrash(server);
        else
            spdlog::info("event=crash_not_confirmed server={} suspects={}", server.id.value(), suspects.size());
    }
    const std::lock_guard lock { m_mutex };
    for (const listed_server& server : due)
        m_suspects.erase(server.id);
}

bool server_access::reachesOtherServer(const service_id& service, const std::set<server_id>& suspects) const
{
    const auto list = m_routing.servers();
    if (!list)
        return false;
    std::vector<const listed_server*> others = list->serversOf(service);
    const auto isSuspected = [&](const listed_server* server) { return suspects.contains(server->id); };
    std::erase_if(others, isSuspected);
    if (others.empty()) {
        for (const auto& [id, server] : list->servers)
            others.push_back(&server);
        std::erase_if(others, isSuspected);
    }
    return !others.empty() && connectAny(sampleAddresses(others, otherServersToProbe), otherServerTimeout);
}

void server_access::answer(const std::string& host, const std::vector<std::uint32_t>& hashes)
{
    std::set<service_id> asked;
    if (const auto list = m_routing.servers()) {
        for (const auto& [id, server] : list->servers) {
            if (std::find(hashes.begin(), hashes.end(), serviceHashOf(server.service)) != hashes.end())
                asked.insert(server.service);
        }
    }
    bool isProbeDue = false;
    for (const service_id& service : asked) {
        auto& monitor = monitorOf(service);
        monitor.checkContact(maxIdleContactAge);
        isProbeDue = isProbeDue || monitor.state() == server_access_state::Doubtful;
    }
    if (!isProbeDue) {
        m_handlers.answerPeer(host);
        return;
    }
    {
        const std::lock_guard lock { m_mutex };
        if (m_askers.size() < maxAskers)
            m_askers.insert(host);
    }
    wake();
}

void server_access::answerPeers()
{
    std::set<std::string> askers;
    {
        const std::lock_guard lock { m_mutex };
        askers = std::exchange(m_askers, {});
    }
    for (const std::string& host : askers)
        m_handlers.answerPeer(host);
}

std::vector<service_contact> server_access::contacts()
{
    std::vector<service_contact> found;
    for (const service_entry* entry : services()) {
        const auto age = entry->second->monitor.contactAge();
        if (age && *age < maxPublishedAge)
            found.push_back({ .service = serviceHashOf(entry->first), .age = *age });
    }
    std::sort(found.begin(), found.end(), [](const service_contact& left, const service_contact& right) { return left.age < right.age; });
    return found;
}

std::size_t server_access::unavailableServices()
{
    const auto entries = services();
    return static_cast<std::size_t>(std::count_if(entries.begin(), entries.end(), [](const service_entry* entry) { return entry->second->monitor.state() == server_access_state::Unavailable; }));
}

std::vector<std::string> server_access::sampleAddresses(const std::vector<const listed_server*>& servers, std::size_t count)
{
    static thread_local std::minstd_rand random { std::random_device {}() };
    std::vector<const listed_server*> chosen;
    std::sample(servers.begin(), servers.end(), std::back_inserter(chosen), count, random);
    std::vector<std::string> addresses;
    addresses.reserve(chosen.size());
    for (const listed_server* server : chosen)
        addresses.push_back(server->address);
    return addresses;
}

bool server_access::connectAny(const std::vector<std::string>& addresses, std::chrono::milliseconds timeout)
{
    const time_point deadline = boottime_clock {}.now() + timeout;
    std::vector<Poco::Net::StreamSocket> sockets;
    for (const std::string& address : addresses) {
        try {
            Poco::Net::StreamSocket socket;
            socket.connectNB(Poco::Net::SocketAddress { address });
            sockets.push_back(socket);
        } catch (const Poco::Exception& error) {
            spdlog::debug("event=probe_failed address={} error=\"{}\"", address, error.displayText());
        }
    }
    while (!sockets.empty()) {
        std::vector<pollfd> polled;
        polled.reserve(sockets.size());
        for (const Poco::Net::StreamSocket& socket : sockets)
            polled.push_back({ .fd = socket.impl()->sockfd(), .events = POLLOUT, .revents = 0 });
        const auto left = std::chrono::ceil<std::chrono::milliseconds>(deadline - boottime_clock {}.now());
        if (::poll(polled.data(), polled.size(), static_cast<int>(std::max<std::chrono::milliseconds::rep>(left.count(), 0))) <= 0)
            return false;
        for (std::size_t index = sockets.size(); index-- > 0;) {
            if (polled[index].revents == 0)
                continue;
            if (sockets[index].impl()->socketError() == 0)
                return true;
            sockets.erase(sockets.begin() + static_cast<std::ptrdiff_t>(index));
        }
    }
    return false;
}

// Without listed servers there is nothing to reach, and nothing to forward.
bool server_access::probe(const service_id& service, bool isRepeated) const
{
    const auto list = m_routing.servers();
    const auto addresses = list ? sampleAddresses(list->serversOf(service), isRepeated ? serversPerProbe : 1) : std::vector<std::string> {};
    return addresses.empty() || connectAny(addresses, isRepeated ? probeTimeout : firstProbeTimeout);
}

void server_access::run()
{
    std::unique_lock lock { m_mutex };
    while (!m_isStopping) {
        lock.unlock();
        confirmCrashes();
        std::vector<std::uint32_t> askedServices;
        bool isAnyDoubtful = false;
        for (service_entry* entry : services()) {
            auto& [service, state] = *entry;
            runProbes(service, *state);
            if (isQuestionDue(service, *state))
                askedServices.push_back(serviceHashOf(service));
            logChange(service, *state);
            isAnyDoubtful = isAnyDoubtful || state->monitor.state() != server_access_state::Available;
        }
        answerPeers();
        if (!askedServices.empty())
            m_handlers.askPeers(askedServices);
        if (const bool hasLostAllNow = hasLostAll(); std::exchange(m_hadLostAll, hasLostAllNow) != hasLostAllNow)
            m_handlers.onChange(hasLostAllNow);
        lock.lock();
        m_changed.wait_for(lock, !m_suspects.empty() ? crashConfirmationDelay : isAnyDoubtful ? unavailableInterval
                                                                                              : checkInterval,
            [this] { return m_isStopping || m_isWoken; });
        m_isWoken = false;
    }
}

void server_access::runProbes(const service_id& service, service_state& state)
{
    while (state.monitor.isProbeDue()) {
        const time_point began = m_clock.now();
        const bool hasReachedServer = probe(service, state.monitor.isProbeRepeated());
        const bool isLate = m_clock.now() - began > lateFactor * probeTimeout;
        if ((!hasReachedServer && isLate) || !state.monitor.recordProbe(hasReachedServer))
            continue;
        if (state.monitor.state() == server_access_state::Unavailable) {
            state.nextQuestionAt = state.monitor.doubtBeganAt() + firstQuestionDelay;
            state.questionDelay = unavailableInterval;
            spdlog::warn("event=server_access_unavailable service={} reason={} failed_servers={} decided_ms={}", service.value(), state.monitor.isDoubtFromSilence() ? "silence" : "connections",
                state.monitor.failedServers(), millisecondsSince(state.monitor.doubtBeganAt()));
            continue;
        }
        spdlog::info("event=server_access_recovered service={} unavailable_ms={}", service.value(), millisecondsSince(state.monitor.doubtBeganAt()));
        m_handlers.onRecovery(service);
    }
}

// Another daemon may reach servers at any time while none is known to, so the first questions follow closely.
bool server_access::isQuestionDue(const service_id& service, service_state& state)
{
    if (state.monitor.state() != server_access_state::Unavailable || m_clock.now() < state.nextQuestionAt)
        return false;
    state.questionDelay = isLost(service) ? maxQuestionDelay : std::min(2 * state.questionDelay, maxQuestionDelay);
    state.nextQuestionAt = m_clock.now() + state.questionDelay;
    return true;
}

void server_access::logChange(const service_id& service, service_state& state)
{
    const bool isLostNow = isLost(service);
    if (std::exchange(state.wasLost, isLostNow) == isLostNow)
        return;
    const auto since = millisecondsSince(state.monitor.doubtBeganAt());
    if (isLostNow)
        spdlog::warn("event=server_access_lost service={} decided_ms={} all_services={}", service.value(), since, hasLostAll());
    else
        spdlog::info("event=server_access_regained service={} lost_ms={} reason={}", service.value(), since, state.monitor.state() == server_access_state::Available ? "servers_reached" : "no_daemon_reaches_servers");
}

std::int64_t server_access::millisecondsSince(time_point time) const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(m_clock.now() - time).count();
}

} // namespace radishflow
