// Implements socket_address_cache.
#include "socket_address_cache.h"

#include <Poco/Net/IPAddress.h>

#include <charconv>
#include <cstdint>
#include <string>

namespace radishflow {

const Poco::Net::SocketAddress* socket_address_cache::find(const peer_address& address)
{
    const auto place = m_addresses.find(address);
    if (place != m_addresses.end())
        return &place->second;
    const std::string& text = address.value();
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos)
        return nullptr;
    std::string host = text.substr(0, colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']')
        host = host.substr(1, host.size() - 2);
    std::uint16_t port = 0;
    const auto [end, error] = std::from_chars(text.data() + colon + 1, text.data() + text.size(), port);
    Poco::Net::IPAddress ip;
    if (error != std::errc {} || end != text.data() + text.size() || !Poco::Net::IPAddress::tryParse(host, ip))
        return nullptr;
    // Addresses of replaced daemons accumulate slowly, so clearing the whole cache is rare and cheap.
    if (m_addresses.size() >= maxEntries)
        m_addresses.clear();
    return &m_addresses.emplace(address, Poco::Net::SocketAddress(ip, port)).first->second;
}

} // namespace radishflow
