// Declares socket_address_cache, which converts peer addresses to POCO socket addresses without name resolution.
#pragma once

#include "radishflow/Membership/peer_address.h"

#include <Poco/Net/SocketAddress.h>

#include <cstddef>
#include <unordered_map>

namespace radishflow {

/// Not thread-safe.
class socket_address_cache {
public:
    /// Returns the address, or null if the text isn't "IP:port". The pointer is valid until the next call.
    const Poco::Net::SocketAddress* find(const peer_address&);

private:
    static constexpr std::size_t maxEntries = 4096;

    std::unordered_map<peer_address, Poco::Net::SocketAddress> m_addresses;
};

} // namespace radishflow
