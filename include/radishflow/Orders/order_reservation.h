// Declares order_reservation, an idempotency key that one daemon incarnation made and alone may run.
#pragma once

#include "radishflow/Support/ids.h"
#include "radishflow/Support/monotonic_clock.h"

#include <optional>
#include <string>

namespace radishflow {

using reservation_serial = number_id<struct reservation_serial_tag>; ///< Counts the reservations of one incarnation.

struct order_reservation {
    daemon_id daemon;
    incarnation_number incarnation;
    reservation_serial serial;
    time_point expiry {}; ///< On the clock of the daemon's host, in whole milliseconds.
    std::string mac; ///< HMAC-SHA256 in hexadecimal digits.

    friend bool operator==(const order_reservation&, const order_reservation&) = default;
};

/// Whether a key claims to be a reservation; such keys never become claims in the table.
bool isReservation(const idempotency_key&);

/// Returns the key of a reservation.
idempotency_key encode(const order_reservation&);

/// Returns nothing for a key that encode doesn't return.
std::optional<order_reservation> parseReservation(const idempotency_key&);

/// Returns the code that binds a reservation to an incarnation's secret and to one workspace.
std::string reservationMac(const order_reservation&, const workspace_id&, const std::string& secret);

/// Compares in a time that doesn't depend on where the codes differ.
bool hasValidMac(const order_reservation&, const workspace_id&, const std::string& secret);

} // namespace radishflow
