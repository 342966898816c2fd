// Declares traffic_meter, which counts bytes and processor time of gossip by message kind.
#pragma once

#include "radishflow/Gossip/datagram_authenticator.h"
#include "radishflow/Gossip/gossip_traffic.h"
#include "radishflow/Membership/gossip_message.h"

#include <cstddef>
#include <functional>
#include <vector>

namespace radishflow {

/// Encodes, signs, verifies and decodes each datagram as the transport does, and measures it. Not thread-safe.
class traffic_meter {
public:
    /// Bytes of the IPv4 and UDP headers.
    static constexpr std::size_t headerBytes = 28;

    explicit traffic_meter(std::size_t daemons);

    void reset();
    void countSent(std::size_t from, std::size_t to, const gossip_message&);
    /// Runs the action and adds its processor time to that of receiving the message, or to the tick time if there is no message.
    void runMeasured(const gossip_message*, const std::function<void()>& action);

    /// Returns datagrams, bytes including headers, and processor time of all daemons.
    const gossip_traffic& total() const { return m_total; }
    /// Returns the bytes sent and received by the daemon with the most traffic.
    std::size_t maxBytesPerDaemon() const;
    std::size_t largestDatagram() const { return m_largest; }

private:
    gossip_traffic m_total;
    std::vector<std::size_t> m_bytes; ///< By daemon, sent and received.
    std::size_t m_largest = 0;
    datagram_authenticator m_authenticator;
};

} // namespace radishflow
