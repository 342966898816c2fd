// Declares order_manager, which lets each order run at most once by fencing its key in the table.
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

/// Says whether a daemon still runs as an incarnation. A wrong response costs knowledge, never a second run.
template <typename T>
concept liveness_check = std::predicate<const T&, const daemon_id&, incarnation_number>;

/// Either the right to dispatch, or what to tell the caller.
using claim_result = std::variant<order_claim, order_reply>;

/// Claims orders for one daemon incarnation. Keeps only the outcomes that the table did not take, in a
/// bounded backlog. As thread-safe as the table and the oracle are; every function may wait for the table.
template <transactional_table Table, liveness_check IsAlive>
class order_manager {
public:
    order_manager(Table& table, IsAlive isAlive, order_manager_options options)
        : m_table(table)
        , m_isAlive(std::move(isAlive))
        , m_options(std::move(options))
    {
    }

    /// Claims an order before anything is dispatched. The attempt id is unique for ever.
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

    /// Has to be called right before each dispatch. Returns true when the order may be dispatched once;
    /// otherwise no dispatch may follow, and endNotRun says what the caller is told.
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

    /// Stores the response. Returns whether it is stored; when not, it waits in the backlog.
    bool recordDone(order_claim& claim, const stored_response& response)
    {
        claim.latch.end();
        return recordOrQueue(claim, claim_state::Done, limitBody(response, maximumStoredBody));
    }

    /// Gives up a claim of which nothing is in flight. What it returns is true even when the table can't
    /// be written: the row that holds the key is this claim's, and this claim is ended. When something is
    /// in flight the outcome is unknown instead.
    order_reply endNotRun(order_claim& claim)
    {
        if (claim.latch.isInFlight())
            return endUnknown(claim);
        claim.latch.end();
        const bool isStored = recordOrQueue(claim, claim_state::NotRun, {});
        return { .reason = isStored ? reply_reason::Refused : reply_reason::NotDispatched, .execution = execution_state::NotRun };
    }

    /// The reply of a dispatch was lost or broken; no other dispatch follows.
    order_reply endUnknown(order_claim& claim)
    {
        claim.latch.end();
        recordOrQueue(claim, claim_state::Unknown, {});
        return { .reason = reply_reason::OutcomeLost, .execution = execution_state::Unknown };
    }

    /// Refuses an order that was not claimed. Says "not run" only when the key is fenced.
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

    /// Writes outcomes that the table did not take before, oldest first, until one fails. To be called
    /// about once a second; `maximum` bounds its writes.
    void recordPending(std::size_t maximum)
    {
        for (std::size_t i = 0; i < maximum; ++i) {
            std::optional<pending_outcome> pending = m_backlog.pop();
            if (!pending || !recordOrQueue(pending->claim, pending->state, pending->response))
                return;
        }
    }

    /// Returns how many outcomes wait for the table.
    std::size_t pendingCount() const { return m_backlog.size(); }

    /// Says what is known of the order with this workspace and key, whatever its fingerprint; changes nothing.
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

    // A reservation has its only home in its issuer's memory; a row for it would be a second one.
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

    // A holder that only seemed dead has to write Dispatching on the revision that this write replaces.
    order_reply fence(const order& request, claim_record record, const table_row& row)
    {
        record.state = claim_state::NotRun;
        const conditional_write_result written = writeConditionally(m_table, row.key, row.modRevision, encode(record));
        if (written.outcome == write_outcome::Written)
            return refusedReply();
        return makeReply(request, written);
    }

    // A claim whose insertion may still take effect would look in progress for as long as this daemon lives.
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

    // Moves the claim's own row on. Another daemon may have fenced it, which only a NotRun is content with.
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

    // Takes over the revision of an own write whose reply was lost; false when the row is final.
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
