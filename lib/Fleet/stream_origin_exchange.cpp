// Implements the exchange of the origins of streams by UDP.
#include "radishflow/Fleet/stream_origin_exchange.h"

#include "radishflow/Fleet/stream_holders.h"
#include "radishflow/Gossip/compact_message.h"
#include "radishflow/Support/timespan.h"

#include <Poco/Exception.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <mutex>
#include <stream_origins_types.h>
#include <utility>

namespace radishflow {

// Bounds how long the destructor waits for the receiving thread.
static constexpr std::chrono::milliseconds receiveTimeout { 300 };
static constexpr std::size_t maxDatagramBytes = 1200;
static constexpr std::size_t maxEntries = 40; // Of each list of a datagram.
// Callers resume a stream within its deadline.
static constexpr std::chrono::seconds originLifetime { 30 };
static constexpr std::size_t maxOrigins = 20000;
// A datagram or its answer may be lost, so a query is repeated. Holders of one region answer within a few milliseconds.
static constexpr std::chrono::milliseconds queryInterval { 50 };
static constexpr std::chrono::milliseconds maxWait { 250 };
// The fleet is discovered within seconds after a start.
static constexpr std::chrono::seconds discoveryTime { 10 };
static constexpr std::chrono::milliseconds maxWaitAfterStart { 1000 };
// Daemons whose views of the fleet differ select different holders, so more are asked than receive an origin.
static constexpr std::size_t holdersPerZone = 1;
static constexpr std::size_t askedHoldersPerZone = 2;

static std::string hostOf(const std::string& address)
{
    return address.substr(0, address.find(':'));
}

static stream_origins_wire::StreamOrigin toWire(const stream_origin& origin)
{
    stream_origins_wire::StreamOrigin wire;
    wire.stream = static_cast<std::int64_t>(origin.stream.value());
    wire.version = static_cast<std::int64_t>(origin.version.value());
    return wire;
}

stream_origin_exchange::stream_origin_exchange(const std::string& address, std::function<void(const stream_origin&)> onReceive)
    : m_onReceive(std::move(onReceive))
    , m_port(address.substr(address.find(':')))
    , m_socket(Poco::Net::SocketAddress { address }, false)
    , m_origins(originLifetime, maxOrigins)
{
    m_socket.setReceiveTimeout(toTimespan(receiveTimeout));
    m_thread = std::thread { [this] { receive(); } };
}

stream_origin_exchange::~stream_origin_exchange()
{
    m_isStopping = true;
    m_thread.join();
}

void stream_origin_exchange::publish(const stream_origin& origin, const fleet_view& fleet)
{
    {
        const std::lock_guard lock { m_mutex };
        m_origins.set(origin.stream, origin.version, m_clock.now());
    }
    for (const fleet_daemon* holder : streamHolders(fleet, origin.stream, holdersPerZone))
        sendTo({ origin }, hostOf(holder->callerAddress));
}

void stream_origin_exchange::sendTo(const std::vector<stream_origin>& origins, const std::string& host)
{
    for (std::size_t start = 0; start < origins.size(); start += maxEntries) {
        stream_origins_wire::StreamOrigins message;
        for (std::size_t i = start; i < std::min(start + maxEntries, origins.size()); ++i)
            message.origins.push_back(toWire(origins[i]));
        send(encodeCompact(message, maxDatagramBytes), host);
    }
}

std::optional<version_key> stream_origin_exchange::find(stream_key stream, const std::function<std::shared_ptr<const fleet_view>()>& currentFleet)
{
    stream_origins_wire::StreamOrigins message;
    message.queries.push_back(static_cast<std::int64_t>(stream.value()));
    const std::string query = encodeCompact(message, maxDatagramBytes);
    const time_point beganAt = m_clock.now();
    const bool isStarting = beganAt - m_startedAt < discoveryTime;
    const time_point deadline = beganAt + (isStarting ? maxWaitAfterStart : maxWait);
    std::unique_lock lock { m_mutex };
    if (const auto version = m_origins.find(stream, m_clock.now()))
        return version;
    const auto pending = m_lookups.insert(m_lookups.end(), { .stream = stream });
    const auto isOver = [&] { return pending->version || (pending->silentHosts.empty() && !isStarting); };
    while (m_clock.now() < deadline) {
        lock.unlock();
        const auto fleet = currentFleet();
        const auto holders = streamHolders(*fleet, stream, askedHoldersPerZone);
        lock.lock();
        for (const fleet_daemon* holder : holders) {
            const std::string host = hostOf(holder->callerAddress);
            if (!pending->answeredHosts.contains(host))
                pending->silentHosts.insert(host);
        }
        if (isOver())
            break;
        const auto hosts = pending->silentHosts;
        lock.unlock();
        for (const std::string& host : hosts)
            send(query, host);
        lock.lock();
        m_answered.wait_for(lock, queryInterval, isOver);
    }
    const std::optional<version_key> version = pending->version;
    m_lookups.erase(pending);
    return version;
}

void stream_origin_exchange::send(const std::string& datagram, const std::string& host)
{
    try {
        m_socket.sendTo(datagram.data(), static_cast<int>(datagram.size()), Poco::Net::SocketAddress { host + m_port });
    } catch (const Poco::Exception& error) {
        // Another holder may have the origin, and queries are repeated.
        spdlog::debug("event=stream_origin_not_sent peer={} error=\"{}\"", host, error.displayText());
    }
}

void stream_origin_exchange::receive()
{
    std::array<char, maxDatagramBytes> datagram;
    while (!m_isStopping) {
        try {
            Poco::Net::SocketAddress sender;
            const int count = m_socket.receiveFrom(datagram.data(), datagram.size(), sender);
            handleDatagram({ datagram.data(), static_cast<std::size_t>(std::max(count, 0)) }, sender);
        } catch (const Poco::TimeoutException&) {
            continue;
        } catch (const Poco::Exception& error) {
            // An ICMP error in response to a datagram sent to a daemon that has ended.
            spdlog::debug("event=stream_origin_not_received error=\"{}\"", error.displayText());
        }
    }
}

void stream_origin_exchange::handleDatagram(std::string_view bytes, const Poco::Net::SocketAddress& sender)
{
    stream_origins_wire::StreamOrigins message;
    if (!decodeCompact(bytes, static_cast<int>(bytes.size()), message) || message.origins.size() > maxEntries || message.queries.size() > maxEntries) {
        spdlog::debug("event=stream_origin_not_read peer={} bytes={}", sender.toString(), bytes.size());
        return;
    }
    const std::string host = sender.host().toString();
    stream_origins_wire::StreamOrigins reply;
    {
        const std::lock_guard lock { m_mutex };
        for (const stream_origins_wire::StreamOrigin& origin : message.origins)
            recordAnswer({ .stream = stream_key { static_cast<std::uint64_t>(origin.stream) }, .version = version_key { static_cast<std::uint64_t>(origin.version) } }, host);
        for (const std::int64_t query : message.queries) {
            const stream_key stream { static_cast<std::uint64_t>(query) };
            reply.origins.push_back(toWire({ .stream = stream, .version = m_origins.find(stream, m_clock.now()).value_or(version_key {}) }));
        }
    }
    m_answered.notify_all();
    for (const stream_origins_wire::StreamOrigin& origin : message.origins) {
        if (m_onReceive && origin.version != 0)
            m_onReceive({ .stream = stream_key { static_cast<std::uint64_t>(origin.stream) }, .version = version_key { static_cast<std::uint64_t>(origin.version) } });
    }
    if (!reply.origins.empty())
        send(encodeCompact(reply, maxDatagramBytes), host);
}

// The caller holds the lock. A version of zero states that the sender does not know the origin.
void stream_origin_exchange::recordAnswer(const stream_origin& answer, const std::string& host)
{
    const bool isKnown = answer.version != version_key {};
    if (isKnown)
        m_origins.set(answer.stream, answer.version, m_clock.now());
    for (lookup& pending : m_lookups) {
        if (pending.stream != answer.stream)
            continue;
        pending.silentHosts.erase(host);
        pending.answeredHosts.insert(host);
        if (isKnown)
            pending.version = answer.version;
    }
}

} // namespace radishflow
