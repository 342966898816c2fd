// Declares order_reservation, an idempotency key issued by one daemon incarnation. Only that incarnation may run
// the order that carries it. Callers know it as a ticket.
#pragma once

#include "radishflow/Support/ids.h"
#include "radishflow/Support/monotonic_clock.h"

#include <optional>
#include <string>

namespace radishflow {

using reservation_serial = number_id<struct reservation_serial_tag>; ///< Increases by one with each reservation of an incarnation.

struct order_reservation {
    daemon_id daemon;
    incarnation_number incarnation;
    reservation_serial serial;
    time_point expiry {}; ///< On the clock of the daemon's host, in whole milliseconds.
    std::string mac; ///< HMAC-SHA256 in hexadecimal digits.

    friend bool operator==(const order_reservation&, const order_reservation&) = default;
};

/// Returns whether a key has the prefix of reservations. Such keys are never claimed in the table.
bool isReservation(const idempotency_key&);

/// Returns the idempotency key that represents a reservation.
idempotency_key encode(const order_reservation&);

/// Parses a key; returns nothing for a key that encode can't have returned. Doesn't verify the MAC.
std::optional<order_reservation> parseReservation(const idempotency_key&);

/// Returns the message authentication code that binds a reservation to an incarnation's secret and to a workspace.
std::string reservationMac(const order_reservation&, const workspace_id&, const std::string& secret);

/// Verifies a reservation's MAC in constant time.
bool hasValidMac(const order_reservation&, const workspace_id&, const std::string& secret);

} // namespace radishflow
