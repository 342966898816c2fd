// Implements gossip_transport: its thread receives datagrams, ticks the table, sends datagrams and counts traffic.
#include "radishflow/Gossip/gossip_transport.h"

#include "radishflow/Gossip/datagram_authenticator.h"
#include "radishflow/Gossip/gossip_codec.h"
#include "radishflow/Membership/membership_table.h"
#include "radishflow/Support/boottime_clock.h"
#include "radishflow/Support/ranked_mutex.h"
#include "radishflow/Support/timespan.h"

#include "socket_address_cache.h"

#include <Poco/Exception.h>
#include <Poco/Net/DatagramSocket.h>
#include <Poco/Net/SocketAddress.h>

#include <array>
#include <atomic>
#include <ctime>
#include <mutex>
#include <random>
#include <thread>

namespace radishflow {

static constexpr int maxDatagramsPerTick = 64;

static std::chrono::nanoseconds processorTime()
{
    timespec spent {};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &spent);
    return std::chrono::seconds { spent.tv_sec } + std::chrono::nanoseconds { spent.tv_nsec };
}

class gossip_transport::implementation {
public:
    implementation(gossip_transport_options options, const Poco::Net::DatagramSocket& socket)
        : m_socket(socket)
        , m_tickInterval(options.tickInterval)
        , m_authenticator(options.keys)
        , m_random(options.randomSeed)
        , m_table(std::move(options.membership), m_clock, m_random)
    {
        m_thread = std::thread([this] { run(); });
    }

    ~implementation()
    {
        m_isStopping = true;
        m_thread.join();
    }

    implementation(const implementation&) = delete;
    implementation& operator=(const implementation&) = delete;

    using table_type = membership_table<boottime_clock, std::mt19937_64>;

    template <typename Action>
    auto withTable(Action&& action) const
    {
        const std::lock_guard lock(m_mutex);
        return action(m_table);
    }

    template <typename Action>
    auto withTable(Action&& action)
    {
        const std::lock_guard lock(m_mutex);
        return action(m_table);
    }

    gossip_traffic traffic() const
    {
        const std::lock_guard lock(m_trafficMutex);
        return m_traffic;
    }

    void leave()
    {
        // Only the gossip thread sends, so run() calls leave() on the table and sends the messages.
        m_isLeaving = true;
    }

private:
    void run()
    {
        while (!m_isStopping) {
            receiveUntilNextTick();
            const auto before = processorTime();
            std::vector<outgoing_message> out = withTable([&](table_type& table) { return table.tick(); });
            if (m_isLeaving.exchange(false)) {
                const std::vector<outgoing_message> leaveMessages = withTable([&](table_type& table) { return table.leave(); });
                out.insert(out.end(), leaveMessages.begin(), leaveMessages.end());
            }
            count([&](gossip_traffic& traffic) { traffic.tickTime += processorTime() - before; });
            sendAll(out);
            count([](gossip_traffic& traffic) { traffic.threadTime = processorTime(); });
        }
    }

    // Receives datagrams until the next tick is due, but at most maxDatagramsPerTick.
    void receiveUntilNextTick()
    {
        const time_point nextTick = m_clock.now() + m_tickInterval;
        for (int received = 0; received < maxDatagramsPerTick && !m_isStopping; ++received) {
            const auto left = std::chrono::duration_cast<std::chrono::microseconds>(nextTick - m_clock.now());
            if (left.count() <= 0)
                return;
            try {
                if (!m_socket.poll(toTimespan(left), Poco::Net::Socket::SELECT_READ))
                    return;
                receiveDatagram();
            } catch (const Poco::Exception&) {
                // For example, an ICMP port-unreachable error for a datagram sent earlier. Later calls are
                // not affected, so receiving continues.
                continue;
            }
        }
    }

    void receiveDatagram()
    {
        const auto before = processorTime();
        // One extra byte distinguishes a datagram that exceeds the limit from one of exactly maxBytes.
        std::array<char, gossip_message::maxBytes + 1> buffer {};
        Poco::Net::SocketAddress sender;
        const int length = m_socket.receiveFrom(buffer.data(), static_cast<int>(buffer.size()), sender);
        if (length <= 0)
            return;
        const std::string_view datagram(buffer.data(), static_cast<std::size_t>(length));
        if (datagram.size() > gossip_message::maxBytes) {
            count([](gossip_traffic& traffic) { ++traffic.rejectedTooLong; });
            return;
        }
        const auto bytes = m_authenticator.verify(datagram);
        if (!bytes) {
            count([](gossip_traffic& traffic) { ++traffic.rejectedUnauthenticated; });
            return;
        }
        const auto message = valueOr([&]() -> result<std::optional<gossip_message>> {
            BOOST_LEAF_AUTO(decoded, decodeGossip(*bytes));
            return std::optional { std::move(decoded) }; }, [](const failure&) { return std::optional<gossip_message> {}; });
        if (!message) {
            count([](gossip_traffic& traffic) { ++traffic.rejectedMalformed; });
            return;
        }
        const peer_address from { sender.toString() };
        const std::vector<outgoing_message> responses = withTable([&](table_type& table) { return table.receive(from, *message); });
        count([&](gossip_traffic& traffic) { add(traffic.received, message->kind, datagram.size(), processorTime() - before); });
        sendAll(responses);
    }

    void sendAll(const std::vector<outgoing_message>& messages)
    {
        for (const outgoing_message& outgoing : messages)
            send(outgoing);
    }

    void send(const outgoing_message& outgoing)
    {
        const auto before = processorTime();
        std::string datagram = encodeGossip(outgoing.message);
        m_authenticator.sign(datagram);
        const Poco::Net::SocketAddress* to = m_addresses.find(outgoing.to);
        bool isSent = to != nullptr && datagram.size() <= gossip_message::maxBytes;
        try {
            if (isSent)
                m_socket.sendTo(datagram.data(), static_cast<int>(datagram.size()), *to);
        } catch (const Poco::Exception&) {
            isSent = false;
        }
        count([&](gossip_traffic& traffic) {
            if (isSent)
                add(traffic.sent, outgoing.message.kind, datagram.size(), processorTime() - before);
            else
                ++traffic.sendErrors;
        });
    }

    static void add(gossip_traffic::kind_counters& counters, message_kind kind, std::size_t bytes, std::chrono::nanoseconds spent)
    {
        gossip_traffic::kind_counter& counter = counters[static_cast<std::size_t>(kind)];
        ++counter.datagrams;
        counter.bytes += bytes;
        counter.processorTime += spent;
    }

    template <typename Action>
    void count(Action&& action)
    {
        const std::lock_guard lock(m_trafficMutex);
        action(m_traffic);
    }

    Poco::Net::DatagramSocket m_socket;
    duration m_tickInterval;
    datagram_authenticator m_authenticator;
    socket_address_cache m_addresses;
    boottime_clock m_clock;
    std::mt19937_64 m_random;
    mutable ranked_mutex m_mutex { lock_rank::Membership };
    table_type m_table;
    mutable ranked_mutex m_trafficMutex { lock_rank::Statistics };
    gossip_traffic m_traffic;
    std::atomic<bool> m_isStopping = false;
    std::atomic<bool> m_isLeaving = false;
    std::thread m_thread;
};

result<std::unique_ptr<gossip_transport>> gossip_transport::start(gossip_transport_options options)
{
    const std::string address = options.membership.address.value();
    socket_address_cache parser;
    const Poco::Net::SocketAddress* bound = parser.find(options.membership.address);
    if (!bound)
        return fail({ .code = failure_code::InvalidInput, .step = "bind gossip", .peer = address, .detail = "address is not IP:port" });
    try {
        Poco::Net::DatagramSocket socket(*bound, false);
        options.membership.address = peer_address { socket.address().toString() };
        return std::unique_ptr<gossip_transport>(new gossip_transport(std::make_unique<implementation>(std::move(options), socket)));
    } catch (const Poco::Exception& error) {
        return fail({ .code = failure_code::Unreachable, .step = "bind gossip", .peer = address, .detail = error.displayText() });
    }
}

gossip_transport::gossip_transport(std::unique_ptr<implementation> newImplementation)
    : m_implementation(std::move(newImplementation))
{
}

gossip_transport::~gossip_transport() = default;

void gossip_transport::seed(std::vector<seed_peer> seeds)
{
    m_implementation->withTable([&](auto& table) { table.seed(std::move(seeds)); });
}

bool gossip_transport::publish(const std::string& key, const std::string& bytes)
{
    return m_implementation->withTable([&](auto& table) { return table.publish(key, bytes); });
}

bool gossip_transport::setRegister(const std::string& key, fleet_register value)
{
    return m_implementation->withTable([&](auto& table) { return table.setRegister(key, std::move(value)); });
}

fleet_register gossip_transport::registerOf(const std::string& key) const
{
    return m_implementation->withTable([&](const auto& table) { return table.registerOf(key); });
}

register_map gossip_transport::registers() const
{
    return m_implementation->withTable([](const auto& table) { return register_map { table.registers() }; });
}

void gossip_transport::setLoads(const std::vector<service_load>& loads)
{
    m_implementation->withTable([&](auto& table) { table.setLoads(loads); });
}

std::optional<load_sums> gossip_transport::fleetLoads() const
{
    return m_implementation->withTable([](const auto& table) { return table.fleetLoads(); });
}

std::vector<member> gossip_transport::members() const
{
    return m_implementation->withTable([](const auto& table) { return table.members(); });
}

std::optional<member> gossip_transport::memberOf(const daemon_id& id) const
{
    return m_implementation->withTable([&](const auto& table) { return table.memberOf(id); });
}

incarnation_number gossip_transport::incarnation() const
{
    return m_implementation->withTable([](const auto& table) { return table.incarnation(); });
}

bool gossip_transport::isIsolated() const
{
    return m_implementation->withTable([](const auto& table) { return table.isIsolated(); });
}

membership_counters gossip_transport::counters() const
{
    return m_implementation->withTable([](const auto& table) { return table.counters(); });
}

gossip_traffic gossip_transport::traffic() const
{
    return m_implementation->traffic();
}

peer_address gossip_transport::address() const
{
    return m_implementation->withTable([](const auto& table) { return table.options().address; });
}

void gossip_transport::leave()
{
    m_implementation->leave();
}

} // namespace radishflow
