// Declares order_manager, which ensures that each order runs at most once by fencing its key with a row in the table.
#pragma once

#include "radishflow/Orders/conditional_write.h"
#include "radishflow/Orders/order_claim.h"
#include "radishflow/Orders/order_manager_options.h"
#include "radishflow/Orders/order_reply.h"
#include "radishflow/Orders/order_reservation.h"
#include "radishflow/Orders/outcome_backlog.h"

#include <concepts>
#include <optional>
#include <string>
#include <utility>
#include <variant>

namespace radishflow {

/// Predicate that returns whether a daemon still runs as the given incarnation. A wrong result may leave an
/// outcome unknown but never causes a second run.
template <typename T>
concept liveness_check = std::predicate<const T&, const daemon_id&, incarnation_number>;

/// Either the right to dispatch the order, or the reply for the caller.
using claim_result = std::variant<order_claim, order_reply>;

/// Claims orders for one daemon incarnation and records their outcomes in the table. Holds in memory only
/// outcomes whose write failed, in a bounded backlog. As thread-safe as the table and the liveness check;
/// every function except pendingCount may block on the table.
template <transactional_table Table, liveness_check IsAlive>
class order_manager {
public:
    order_manager(Table& table, IsAlive isAlive, order_manager_options options)
        : m_table(table)
        , m_isAlive(std::move(isAlive))
        , m_options(std::move(options))
    {
    }

    /// Claims an order, which must precede its dispatch. An attempt id must never be used twice.
    claim_result claim(const order& request, const attempt_id& attempt)
    {
        if (std::optional<order_reply> reply = rejectUnusableKey(request.key))
            return *std::move(reply);
        claim_record record = makeRecord(request, attempt, m_options.recordsDispatch ? claim_state::Claimed : claim_state::Dispatching);
        const conditional_write_result written = writeConditionally(m_table, claimRowKey(request), 0, encode(record));
        if (written.outcome == write_outcome::Written)
            return order_claim { .request = request, .record = std::move(record), .modRevision = written.modRevision };
        if (written.outcome == write_outcome::Indeterminate)
            queueFence(request, std::move(record));
        return makeReply(request, written);
    }

    /// Must be called right before each dispatch. Returns true when the order may be dispatched once; otherwise
    /// it must not be dispatched, and endNotRun returns the reply for the caller.
    bool markDispatching(order_claim& claim)
    {
        if (!claim.latch.isIdle())
            return false;
        if (claim.record.state == claim_state::Claimed && record(claim, claim_state::Dispatching, {}) != write_outcome::Written) {
            claim.latch.end();
            return false;
        }
        return claim.latch.tryBegin();
    }

    /// Records that the order ran, with its response. Returns false when the write failed and was queued in the
    /// backlog.
    bool recordDone(order_claim& claim, const stored_response& response)
    {
        claim.latch.end();
        return recordOrQueue(claim, claim_state::Done, limitBody(response, maximumStoredBody));
    }

    /// Ends a claim that has no dispatch in flight. The reply "not run" is correct even when the table can't be
    /// written, because this claim's row still fences the key and the ended claim allows no dispatch. When a
    /// dispatch is in flight, this is endUnknown.
    order_reply endNotRun(order_claim& claim)
    {
        if (claim.latch.isInFlight())
            return endUnknown(claim);
        claim.latch.end();
        const bool isStored = recordOrQueue(claim, claim_state::NotRun, {});
        return { .reason = isStored ? reply_reason::Refused : reply_reason::NotDispatched, .execution = execution_state::NotRun };
    }

    /// Ends a claim whose dispatch got no usable reply. The order is not dispatched again.
    order_reply endUnknown(order_claim& claim)
    {
        claim.latch.end();
        recordOrQueue(claim, claim_state::Unknown, {});
        return { .reason = reply_reason::OutcomeLost, .execution = execution_state::Unknown };
    }

    /// Refuses an order that was not claimed. Inserts a row that fences its key, and replies "not run" only when
    /// the key is fenced.
    order_reply refuse(const order& request, const attempt_id& attempt)
    {
        if (std::optional<order_reply> reply = rejectUnusableKey(request.key))
            return *std::move(reply);
        claim_record fence = makeRecord(request, attempt, claim_state::NotRun);
        const conditional_write_result written = writeConditionally(m_table, claimRowKey(request), 0, encode(fence));
        if (written.outcome == write_outcome::Written)
            return refusedReply();
        if (written.outcome == write_outcome::Indeterminate)
            queueFence(request, std::move(fence));
        return makeReply(request, written);
    }

    /// Retries the writes in the backlog, oldest first, until one fails or `maximum` were written. Should be
    /// called about once a second.
    void recordPending(std::size_t maximum)
    {
        for (std::size_t i = 0; i < maximum; ++i) {
            std::optional<pending_outcome> pending = m_backlog.pop();
            if (!pending || !recordOrQueue(pending->claim, pending->state, pending->response))
                return;
        }
    }

    /// Returns the number of outcomes in the backlog.
    std::size_t pendingCount() const { return m_backlog.size(); }

    /// Returns the recorded state of the order with this workspace and key, ignoring its fingerprint. Writes
    /// nothing.
    order_reply lookUp(order request)
    {
        const std::string key = claimRowKey(request);
        return valueOr(
            [&]() -> result<order_reply> {
                BOOST_LEAF_AUTO(page, m_table.readRange(key, 0));
                if (page.rows.empty())
                    return order_reply { .reason = reply_reason::NotFound };
                BOOST_LEAF_AUTO(record, decodeClaimRecord(page.rows.front().value));
                request.fingerprint = record.fingerprint;
                return makeReply(request, record);
            },
            [](const failure& error) { return order_reply { .detail = describe(error) }; });
    }

private:
    static constexpr std::size_t maximumStoredBody = 16 * std::size_t { 1024 };

    static order_reply refusedReply() { return { .reason = reply_reason::Refused, .execution = execution_state::NotRun }; }

    // The issuer's memory is the only authority on a reservation. A row for it in the table would be a second
    // authority, and the order could run twice.
    static std::optional<order_reply> rejectUnusableKey(const idempotency_key& key)
    {
        if (isReservation(key))
            return order_reply { .reason = reply_reason::OtherDaemon };
        if (!isValidKey(key))
            return order_reply { .reason = reply_reason::InvalidKey, .execution = execution_state::NotRun };
        return std::nullopt;
    }

    claim_record makeRecord(const order& request, const attempt_id& attempt, claim_state state) const
    {
        return { .state = state, .attempt = attempt, .holder = m_options.daemon, .incarnation = m_options.incarnation, .fingerprint = request.fingerprint };
    }

    order_reply makeReply(const order& request, const conditional_write_result& written)
    {
        if (written.outcome == write_outcome::Indeterminate)
            return { .detail = written.detail };
        return valueOr(
            [&]() -> result<order_reply> {
                BOOST_LEAF_AUTO(record, decodeClaimRecord(written.current.value));
                if (canFence(request, record))
                    return fence(request, std::move(record), written.current);
                return makeReply(request, record);
            },
            [](const failure& error) { return order_reply { .detail = describe(error) }; });
    }

    order_reply makeReply(const order& request, const claim_record& record) const
    {
        if (record.fingerprint != request.fingerprint)
            return { .reason = reply_reason::KeyReused, .execution = execution_state::NotRun };
        switch (record.state) {
        case claim_state::Done:
            return { .reason = record.response.isBodyStored ? reply_reason::Replayed : reply_reason::ResponseNotStored, .execution = execution_state::Done, .response = record.response };
        case claim_state::NotRun:
            return refusedReply();
        case claim_state::Unknown:
            return { .reason = reply_reason::OutcomeLost };
        case claim_state::Claimed:
        case claim_state::Dispatching:
            break;
        }
        return { .reason = isHolderAlive(record) ? reply_reason::InProgress : reply_reason::HolderGone };
    }

    bool isHolderAlive(const claim_record& record) const { return m_isAlive(record.holder, record.incarnation); }

    bool canFence(const order& request, const claim_record& record) const
    {
        return record.state == claim_state::Claimed && record.fingerprint == request.fingerprint && !isHolderAlive(record);
    }

    // Fences the claim of a holder that seems dead. If the holder is alive after all, its write of Dispatching
    // fails, because it is conditional on the revision that this write replaces.
    order_reply fence(const order& request, claim_record record, const table_row& row)
    {
        record.state = claim_state::NotRun;
        const conditional_write_result written = writeConditionally(m_table, row.key, row.modRevision, encode(record));
        if (written.outcome == write_outcome::Written)
            return refusedReply();
        return makeReply(request, written);
    }

    // Queues a NotRun for a claim whose insertion may still take effect. Without it, other daemons would see the
    // claim as in progress for as long as this daemon lives.
    void queueFence(const order& request, claim_record record)
    {
        pending_outcome pending { .claim = { .request = request, .record = std::move(record) }, .state = claim_state::NotRun };
        pending.claim.latch.end();
        m_backlog.push(std::move(pending));
    }

    bool recordOrQueue(order_claim& claim, claim_state state, const stored_response& response)
    {
        const write_outcome outcome = record(claim, state, response);
        if (outcome == write_outcome::Indeterminate)
            m_backlog.push({ .claim = claim, .state = state, .response = response });
        return outcome != write_outcome::Indeterminate;
    }

    // Writes the claim's next state to its row. If another daemon has fenced the row, the result is Conflict;
    // that agrees with the wanted outcome only when that is NotRun.
    write_outcome record(order_claim& claim, claim_state state, const stored_response& response)
    {
        constexpr int maximumRevisions = 3;
        claim_record next = claim.record;
        next.state = state;
        next.response = response;
        const std::string value = encode(next);
        for (int i = 0; i < maximumRevisions; ++i) {
            const conditional_write_result written = writeConditionally(m_table, claimRowKey(claim.request), claim.modRevision, value);
            if (written.outcome == write_outcome::Written) {
                claim.record.state = state;
                claim.modRevision = written.modRevision;
            }
            if (written.outcome != write_outcome::Conflict || !adopt(claim, written.current))
                return written.outcome;
        }
        return write_outcome::Indeterminate;
    }

    // Adopts the state and revision of a row that this claim wrote although the reply was lost. Returns false
    // when the row is final or belongs to another attempt.
    static bool adopt(order_claim& claim, const table_row& row)
    {
        return valueOr(
            [&]() -> result<bool> {
                BOOST_LEAF_AUTO(record, decodeClaimRecord(row.value));
                const bool isFinal = record.state == claim_state::Done || record.state == claim_state::NotRun;
                if (isFinal || record.attempt != claim.record.attempt)
                    return false;
                claim.record.state = record.state;
                claim.modRevision = row.modRevision;
                return true;
            },
            [](const failure&) { return false; });
    }

    Table& m_table;
    IsAlive m_isAlive;
    order_manager_options m_options;
    outcome_backlog m_backlog;
};

} // namespace radishflow
