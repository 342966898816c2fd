// Declares order_ticket, an idempotency key that one daemon incarnation made and alone may run.
#pragma once

#include "radishflow/Support/ids.h"
#include "radishflow/Support/monotonic_clock.h"

#include <optional>
#include <string>

namespace radishflow {

using ticket_serial = number_id<struct ticket_serial_tag>; ///< Counts the tickets of one incarnation.

struct order_ticket {
    daemon_id daemon;
    incarnation_number incarnation;
    ticket_serial serial;
    time_point expiry {}; ///< On the clock of the daemon's host, in whole milliseconds.
    std::string mac; ///< HMAC-SHA256 in hexadecimal digits.

    friend bool operator==(const order_ticket&, const order_ticket&) = default;
};

/// Whether a key claims to be a ticket; such keys never become claims in the table.
bool isTicket(const idempotency_key&);

/// Returns the key of a ticket.
idempotency_key encode(const order_ticket&);

/// Returns nothing for a key that encode doesn't return.
std::optional<order_ticket> parseTicket(const idempotency_key&);

/// Returns the code that binds a ticket to an incarnation's secret and to one workspace.
std::string ticketMac(const order_ticket&, const workspace_id&, const std::string& secret);

/// Compares in a time that doesn't depend on where the codes differ.
bool hasValidMac(const order_ticket&, const workspace_id&, const std::string& secret);

} // namespace radishflow
