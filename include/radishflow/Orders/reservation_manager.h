// Declares reservation_manager, which ensures in memory, without the table, that one daemon incarnation runs each
// order at most once.
#pragma once

#include "radishflow/Orders/order.h"
#include "radishflow/Orders/order_reservation.h"
#include "radishflow/Orders/reservation_manager_options.h"
#include "radishflow/Orders/reservation_permit.h"
#include "radishflow/Orders/reservation_record.h"
#include "radishflow/Support/monotonic_clock.h"
#include "radishflow/Support/ranked_mutex.h"

#include <algorithm>
#include <map>
#include <mutex>
#include <utility>
#include <variant>

namespace radishflow {

/// Either the right to dispatch the order, or the reply for the caller.
using redemption_result = std::variant<reservation_permit, order_reply>;

/// Issues and redeems reservations. An issued reservation takes no memory; a redeemed one takes a record until
/// its retention ends. Thread-safe; its mutex has rank Orders.
template <monotonic_clock Clock>
class reservation_manager {
public:
    reservation_manager(const Clock& clock, reservation_manager_options options)
        : m_clock(clock)
        , m_options(std::move(options))
    {
    }

    /// Returns the key of a new reservation, which is valid for one workspace and only at this incarnation.
    idempotency_key issue(const workspace_id& workspace)
    {
        const time_point expiry = std::chrono::floor<std::chrono::milliseconds>(m_clock.now() + m_options.lifetime);
        const std::lock_guard lock(m_mutex);
        m_lastSerial = m_lastSerial.next();
        order_reservation reservation { .daemon = m_options.daemon, .incarnation = m_options.incarnation, .serial = m_lastSerial, .expiry = expiry, .mac = {} };
        reservation.mac = reservationMac(reservation, workspace, m_options.secret);
        return encode(reservation);
    }

    /// Returns the permit to dispatch on the first valid call with a reservation, and a reply on every other.
    redemption_result redeem(const order& request)
    {
        const std::optional<order_reservation> reservation = parseReservation(request.key);
        if (!reservation)
            return order_reply { .reason = reply_reason::InvalidKey, .execution = execution_state::NotRun };
        if (reservation->daemon != m_options.daemon)
            return order_reply { .reason = reply_reason::OtherDaemon };
        if (reservation->incarnation != m_options.incarnation)
            return order_reply { .reason = reply_reason::HolderGone };
        if (!hasValidMac(*reservation, request.workspace, m_options.secret))
            return order_reply { .reason = reply_reason::InvalidKey, .execution = execution_state::NotRun };
        const std::lock_guard lock(m_mutex);
        return redeemValid(*reservation, request.fingerprint);
    }

    /// Stores the response for later calls with the same reservation. The body is dropped when it is too long.
    void recordDone(reservation_permit& permit, const stored_response& response)
    {
        permit.latch.end();
        const std::lock_guard lock(m_mutex);
        const auto record = m_records.find(permit.serial);
        if (record == m_records.end())
            return;
        stored_response kept = limitBody(response, maximumStoredBody);
        m_bodyBytes += kept.body.size();
        const reply_reason reason = kept.isBodyStored ? reply_reason::Replayed : reply_reason::ResponseNotStored;
        record->second.reply = { .reason = reason, .execution = execution_state::Done, .response = std::move(kept) };
        evictOldBodies();
    }

    /// Ends a reservation that has no dispatch in flight. When one is in flight, this is endUnknown.
    order_reply endNotRun(reservation_permit& permit)
    {
        if (permit.latch.isInFlight())
            return endUnknown(permit);
        return end(permit, { .reason = reply_reason::Refused, .execution = execution_state::NotRun });
    }

    /// Ends a reservation whose dispatch got no usable reply. The order is not dispatched again.
    order_reply endUnknown(reservation_permit& permit) { return end(permit, { .reason = reply_reason::OutcomeLost }); }

    /// Returns the number of records of redeemed reservations.
    std::size_t recordCount() const
    {
        const std::lock_guard lock(m_mutex);
        return m_records.size();
    }

    /// Returns the total size of the stored response bodies in bytes.
    std::size_t bodyBytes() const
    {
        const std::lock_guard lock(m_mutex);
        return m_bodyBytes;
    }

private:
    static constexpr std::size_t maximumStoredBody = 16 * std::size_t { 1024 };

    redemption_result redeemValid(const order_reservation& reservation, std::uint64_t fingerprint)
    {
        const time_point now = m_clock.now();
        evictExpiredRecords(now);
        if (const auto existing = m_records.find(reservation.serial); existing != m_records.end()) {
            if (existing->second.fingerprint != fingerprint)
                return order_reply { .reason = reply_reason::KeyReused, .execution = execution_state::NotRun };
            return existing->second.reply;
        }
        // Records are kept until the retention ends. Until then a missing record proves that the order never ran;
        // afterwards it proves nothing.
        if (now > reservation.expiry + m_options.retention)
            return order_reply { .reason = reply_reason::ReservationExpired };
        if (now > reservation.expiry)
            return order_reply { .reason = reply_reason::ReservationExpired, .execution = execution_state::NotRun };
        if (m_records.size() >= m_options.maximumRecords)
            return order_reply { .reason = reply_reason::ReservationLimitReached };
        m_records.emplace(reservation.serial, reservation_record { .fingerprint = fingerprint, .expiry = reservation.expiry });
        return reservation_permit { .serial = reservation.serial };
    }

    order_reply end(reservation_permit& permit, order_reply reply)
    {
        permit.latch.end();
        const std::lock_guard lock(m_mutex);
        if (const auto record = m_records.find(permit.serial); record != m_records.end())
            record->second.reply = reply;
        return reply;
    }

    // Expiry rises with the serial, so the map's first record is the oldest.
    void evictExpiredRecords(time_point now)
    {
        while (!m_records.empty() && now > m_records.begin()->second.expiry + m_options.retention) {
            m_bodyBytes -= m_records.begin()->second.reply.response.body.size();
            m_records.erase(m_records.begin());
        }
    }

    void evictOldBodies()
    {
        for (auto& [serial, record] : m_records) {
            if (m_bodyBytes <= m_options.maximumBodyBytes)
                return;
            if (record.reply.response.body.empty())
                continue;
            m_bodyBytes -= record.reply.response.body.size();
            record.reply.reason = reply_reason::ResponseNotStored;
            record.reply.response.body = {};
            record.reply.response.isBodyStored = false;
        }
    }

    const Clock& m_clock;
    reservation_manager_options m_options;
    mutable ranked_mutex m_mutex { lock_rank::Orders };
    reservation_serial m_lastSerial;
    std::map<reservation_serial, reservation_record> m_records;
    std::size_t m_bodyBytes = 0;
};

} // namespace radishflow
