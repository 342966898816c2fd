// Implements datagram_authenticator with POCO's HMAC.
#include "radishflow/Gossip/datagram_authenticator.h"

#include <Poco/HMACEngine.h>
#include <Poco/SHA2Engine.h>

#include <algorithm>
#include <array>

namespace radishflow {

namespace {
    // POCO's HMACEngine reads block and digest size from constants of the engine class. SHA2Engine lacks them because
    // it supports several sizes.
    class sha256_engine : public Poco::SHA2Engine {
    public:
        // HMACEngine requires these names.
        // NOLINTBEGIN(readability-identifier-naming)
        static constexpr int BLOCK_SIZE = 64;
        static constexpr int DIGEST_SIZE = 32;
        // NOLINTEND(readability-identifier-naming)

        sha256_engine()
            : Poco::SHA2Engine(Poco::SHA2Engine::SHA_256)
        {
        }
    };
} // namespace

class datagram_authenticator::keyed_hash {
public:
    explicit keyed_hash(const std::string& key)
        : m_engine(key)
    {
    }

    std::array<char, codeBytes> codeOf(std::string_view message)
    {
        m_engine.update(message.data(), message.size());
        const Poco::DigestEngine::Digest& digest = m_engine.digest();
        std::array<char, codeBytes> code {};
        std::copy_n(digest.begin(), codeBytes, code.begin());
        return code;
    }

private:
    Poco::HMACEngine<sha256_engine> m_engine;
};

datagram_authenticator::datagram_authenticator(const std::vector<std::string>& keys)
{
    for (const std::string& key : keys)
        m_keys.push_back(std::make_unique<keyed_hash>(key));
}

datagram_authenticator::~datagram_authenticator() = default;
datagram_authenticator::datagram_authenticator(datagram_authenticator&&) noexcept = default;
datagram_authenticator& datagram_authenticator::operator=(datagram_authenticator&&) noexcept = default;

void datagram_authenticator::sign(std::string& datagram)
{
    if (m_keys.empty())
        return;
    const auto code = m_keys.front()->codeOf(datagram);
    datagram.append(code.data(), code.size());
}

// Compares in constant time, so that the duration doesn't reveal where two codes differ.
static bool isEqualConstantTime(std::string_view left, std::string_view right)
{
    unsigned difference = 0;
    for (std::size_t i = 0; i < left.size(); ++i)
        difference |= static_cast<unsigned char>(left[i] ^ right[i]);
    return difference == 0;
}

std::optional<std::string_view> datagram_authenticator::verify(std::string_view datagram)
{
    if (m_keys.empty())
        return datagram;
    if (datagram.size() <= codeBytes)
        return std::nullopt;
    const std::string_view message = datagram.substr(0, datagram.size() - codeBytes);
    const std::string_view code = datagram.substr(message.size());
    for (const auto& key : m_keys) {
        const auto expected = key->codeOf(message);
        if (isEqualConstantTime(code, { expected.data(), expected.size() }))
            return message;
    }
    return std::nullopt;
}

} // namespace radishflow
