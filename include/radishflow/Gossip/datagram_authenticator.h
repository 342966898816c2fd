// Declares datagram_authenticator, which signs datagrams with the fleet's key.
#pragma once

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace radishflow {

/// HMAC-SHA256, cut to 16 bytes, behind the message. Without keys, datagrams are neither signed nor checked.
/// Not thread-safe.
class datagram_authenticator {
public:
    static constexpr std::size_t codeBytes = 16;

    /// Signs with the first key and accepts all, so that a key can be replaced host by host.
    explicit datagram_authenticator(const std::vector<std::string>& keys);
    ~datagram_authenticator();
    datagram_authenticator(datagram_authenticator&&) noexcept;
    datagram_authenticator& operator=(datagram_authenticator&&) noexcept;

    void sign(std::string& datagram);
    /// Returns the message without its code, or nothing when no key fits.
    std::optional<std::string_view> verify(std::string_view datagram);

private:
    class keyed_hash;
    std::vector<std::unique_ptr<keyed_hash>> m_keys;
};

} // namespace radishflow
