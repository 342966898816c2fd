// Implements traffic_meter.
#include "traffic_meter.h"

#include "radishflow/Gossip/gossip_codec.h"

#include <algorithm>
#include <cassert>
#include <ctime>

namespace radishflow {

static std::chrono::nanoseconds processorTime()
{
    timespec spent {};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &spent);
    return std::chrono::seconds { spent.tv_sec } + std::chrono::nanoseconds { spent.tv_nsec };
}

traffic_meter::traffic_meter(std::size_t daemons)
    : m_bytes(daemons)
    , m_authenticator({ "benchmark" })
{
}

void traffic_meter::reset()
{
    m_total = {};
    std::fill(m_bytes.begin(), m_bytes.end(), 0);
    m_largest = 0;
}

void traffic_meter::countSent(std::size_t from, std::size_t to, const gossip_message& message)
{
    const auto start = processorTime();
    std::string datagram = encodeGossip(message);
    m_authenticator.sign(datagram);
    const auto encoded = processorTime();
    const auto verified = m_authenticator.verify(datagram);
    const bool isValid = verified && decodeGossip(*verified).has_value();
    assert(isValid && "the codec decodes its own datagrams");
    const auto decoded = processorTime();
    const std::size_t bytes = datagram.size() + headerBytes;
    m_largest = std::max(m_largest, datagram.size());
    m_bytes[from] += bytes;
    m_bytes[to] += bytes;
    const auto kind = static_cast<std::size_t>(message.kind);
    ++m_total.sent[kind].datagrams;
    m_total.sent[kind].bytes += bytes;
    m_total.sent[kind].processorTime += encoded - start;
    m_total.received[kind].processorTime += isValid ? decoded - encoded : decoded - decoded;
}

void traffic_meter::runMeasured(const gossip_message* message, const std::function<void()>& action)
{
    const auto start = processorTime();
    action();
    const auto spent = processorTime() - start;
    if (!message) {
        m_total.tickTime += spent;
        return;
    }
    gossip_traffic::kind_counter& counter = m_total.received[static_cast<std::size_t>(message->kind)];
    ++counter.datagrams;
    counter.processorTime += spent;
}

std::size_t traffic_meter::maxBytesPerDaemon() const
{
    return *std::max_element(m_bytes.begin(), m_bytes.end());
}

} // namespace radishflow
