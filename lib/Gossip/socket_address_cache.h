// Declares socket_address_cache, which turns peer addresses into POCO's without asking the name service.
#pragma once

#include "radishflow/Membership/peer_address.h"

#include <Poco/Net/SocketAddress.h>

#include <cstddef>
#include <unordered_map>

namespace radishflow {

/// Not thread-safe.
class socket_address_cache {
public:
    /// Returns the address, or null when the text is not "IP:port".
    const Poco::Net::SocketAddress* find(const peer_address&);

private:
    static constexpr std::size_t maxEntries = 4096;

    std::unordered_map<peer_address, Poco::Net::SocketAddress> m_addresses;
};

} // namespace radishflow
