// Implements the encoding of reservations as idempotency keys, and their message authentication code.
#include "radishflow/Orders/order_reservation.h"

#include <Poco/HMACEngine.h>
#include <Poco/SHA2Engine.h>

#include <array>
#include <charconv>
#include <string_view>

namespace radishflow {

namespace {

    /// Adds the block size, which POCO's HMACEngine requires and its SHA2Engine doesn't define.
    class sha256_engine : public Poco::SHA2Engine {
    public:
        enum : std::size_t {
            BLOCK_SIZE = 64, // NOLINT(readability-identifier-naming): POCO's name
            DIGEST_SIZE = 32, // NOLINT(readability-identifier-naming): POCO's name
        };
    };

} // namespace

static constexpr std::string_view reservationPrefix = "rft1:";
static constexpr std::size_t fieldCount = 5;
static constexpr std::int64_t latestExpiryMilliseconds = std::int64_t { 1 } << 42; // 2^42 ms still fits into 64 bits as nanoseconds.

bool isReservation(const idempotency_key& key)
{
    return key.value().starts_with(reservationPrefix);
}

static std::string textWithoutMac(const order_reservation& reservation)
{
    const auto expiry = std::chrono::duration_cast<std::chrono::milliseconds>(reservation.expiry.time_since_epoch());
    return std::string(reservationPrefix) + reservation.daemon.value() + ":" + std::to_string(reservation.incarnation.value()) + ":"
        + std::to_string(reservation.serial.value()) + ":" + std::to_string(expiry.count());
}

idempotency_key encode(const order_reservation& reservation)
{
    return idempotency_key { textWithoutMac(reservation) + ":" + reservation.mac };
}

template <typename Number>
static bool parseNumber(std::string_view text, Number& target)
{
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), target);
    return error == std::errc {} && end == text.data() + text.size();
}

std::optional<order_reservation> parseReservation(const idempotency_key& key)
{
    if (!isReservation(key))
        return std::nullopt;
    std::string_view rest = std::string_view(key.value()).substr(reservationPrefix.size());
    std::array<std::string_view, fieldCount> fields;
    for (std::size_t i = 0; i + 1 < fieldCount; ++i) {
        const std::size_t colon = rest.find(':');
        if (colon == std::string_view::npos)
            return std::nullopt;
        fields[i] = rest.substr(0, colon);
        rest.remove_prefix(colon + 1);
    }
    fields.back() = rest;
    std::uint64_t incarnation = 0;
    std::uint64_t serial = 0;
    std::int64_t expiry = 0;
    if (!parseNumber(fields[1], incarnation) || !parseNumber(fields[2], serial) || !parseNumber(fields[3], expiry))
        return std::nullopt;
    if (expiry < 0 || expiry > latestExpiryMilliseconds)
        return std::nullopt;
    order_reservation reservation { .daemon = daemon_id { std::string(fields[0]) },
        .incarnation = incarnation_number { incarnation },
        .serial = reservation_serial { serial },
        .expiry = time_point { std::chrono::milliseconds { expiry } },
        .mac = std::string(fields[4]) };
    // Accept only the canonical encoding, so that no two keys represent the same reservation.
    if (encode(reservation) != key)
        return std::nullopt;
    return reservation;
}

bool hasValidMac(const order_reservation& reservation, const workspace_id& workspace, const std::string& secret)
{
    const std::string expected = reservationMac(reservation, workspace, secret);
    const Poco::DigestEngine::Digest first(expected.begin(), expected.end());
    const Poco::DigestEngine::Digest second(reservation.mac.begin(), reservation.mac.end());
    return Poco::DigestEngine::constantTimeEquals(first, second);
}

std::string reservationMac(const order_reservation& reservation, const workspace_id& workspace, const std::string& secret)
{
    Poco::HMACEngine<sha256_engine> engine(secret);
    engine.update(textWithoutMac(reservation) + "\n" + workspace.value());
    return Poco::DigestEngine::digestToHex(engine.digest());
}

} // namespace radishflow
