// Declares datagram_authenticator, which signs and verifies datagrams with the fleet's keys.
#pragma once

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace radishflow {

/// Appends an HMAC-SHA256, truncated to 16 bytes, to the message. Without keys, datagrams are neither signed nor
/// verified. Not thread-safe.
class datagram_authenticator {
public:
    static constexpr std::size_t codeBytes = 16;

    /// Signs with the first key and accepts signatures by any of the keys, so that a key can be replaced host by host.
    explicit datagram_authenticator(const std::vector<std::string>& keys);
    ~datagram_authenticator();
    datagram_authenticator(datagram_authenticator&&) noexcept;
    datagram_authenticator& operator=(datagram_authenticator&&) noexcept;

    /// Appends the authentication code to the datagram.
    void sign(std::string& datagram);
    /// Returns the message without its code, or nothing if the code matches none of the keys.
    std::optional<std::string_view> verify(std::string_view datagram);

private:
    class keyed_hash;
    std::vector<std::unique_ptr<keyed_hash>> m_keys;
};

} // namespace radishflow
