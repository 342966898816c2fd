// Declares the table row by which a daemon renews the terms of all servers that it owns.
#pragma once

#include "radishflow/Support/ids.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace radishflow {

enum class renewal_state {
    Live,
    Lapsed, ///< Written by a successor; all terms of the daemon have ended.
    Released, ///< Written by the daemon itself when it stopped.
};

/// Row "terms/renewals/<daemon>".
struct renewal_row {
    incarnation_number incarnation;
    std::uint64_t nonce = 0; ///< Distinguishes processes of the same name.
    std::uint64_t sequence = 0; ///< Increases with each attempt to renew.
    renewal_state state = renewal_state::Live;

    friend bool operator==(const renewal_row&, const renewal_row&) = default;
};

/// Common prefix of renewal and ownership rows, so that one range read covers both.
inline constexpr std::string_view termsPrefix = "terms/";

std::string renewalKey(const daemon_id&);

/// Returns the daemon of a renewal row's key, or nothing for another key.
std::optional<daemon_id> daemonOfRenewalKey(std::string_view key);

std::string format(const renewal_row&);

/// Returns nothing when the text is not a renewal row.
std::optional<renewal_row> parseRenewalRow(std::string_view);

} // namespace radishflow
