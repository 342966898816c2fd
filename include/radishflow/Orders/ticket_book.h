// Declares ticket_book, which lets one daemon incarnation run orders at most once without the table.
#pragma once

#include "radishflow/Orders/order.h"
#include "radishflow/Orders/order_ticket.h"
#include "radishflow/Orders/ticket_book_options.h"
#include "radishflow/Orders/ticket_permit.h"
#include "radishflow/Orders/ticket_record.h"
#include "radishflow/Support/monotonic_clock.h"
#include "radishflow/Support/ranked_mutex.h"

#include <algorithm>
#include <map>
#include <mutex>
#include <utility>
#include <variant>

namespace radishflow {

/// Either the right to dispatch, or what to tell the caller.
using ticket_outcome = std::variant<ticket_permit, order_reply>;

/// Issues and redeems tickets from memory. An issued ticket takes none; a redeemed one takes a record
/// until its outcome is no longer kept. Thread-safe; rank Orders.
template <monotonic_clock Clock>
class ticket_book {
public:
    ticket_book(const Clock& clock, ticket_book_options options)
        : m_clock(clock)
        , m_options(std::move(options))
    {
    }

    /// Returns a new ticket that only this incarnation runs, for one workspace.
    idempotency_key issue(const workspace_id& workspace)
    {
        const time_point expiry = std::chrono::floor<std::chrono::milliseconds>(m_clock.now() + m_options.lifetime);
        const std::lock_guard lock(m_mutex);
        m_lastSerial = m_lastSerial.next();
        order_ticket ticket { .daemon = m_options.daemon, .incarnation = m_options.incarnation, .serial = m_lastSerial, .expiry = expiry, .mac = {} };
        ticket.mac = ticketMac(ticket, workspace, m_options.secret);
        return encode(ticket);
    }

    /// Gives the right to dispatch at most once for each ticket.
    ticket_outcome redeem(const order& request)
    {
        const std::optional<order_ticket> ticket = parseTicket(request.key);
        if (!ticket)
            return order_reply { .reason = reply_reason::InvalidKey, .execution = execution_state::NotRun };
        if (ticket->daemon != m_options.daemon)
            return order_reply { .reason = reply_reason::OtherDaemon };
        if (ticket->incarnation != m_options.incarnation)
            return order_reply { .reason = reply_reason::HolderGone };
        if (!hasValidMac(*ticket, request.workspace, m_options.secret))
            return order_reply { .reason = reply_reason::InvalidKey, .execution = execution_state::NotRun };
        const std::lock_guard lock(m_mutex);
        return redeemOwn(*ticket, request.fingerprint);
    }

    /// Keeps the answer for calls that repeat the ticket.
    void recordDone(ticket_permit& permit, const stored_answer& answer)
    {
        permit.latch.end();
        const std::lock_guard lock(m_mutex);
        const auto record = m_records.find(permit.serial);
        if (record == m_records.end())
            return;
        stored_answer kept = limitBody(answer, maximumStoredBody);
        m_answerBytes += kept.body.size();
        const reply_reason reason = kept.isBodyKept ? reply_reason::Replayed : reply_reason::AnswerNotKept;
        record->second.reply = { .reason = reason, .execution = execution_state::Done, .answer = std::move(kept) };
        dropOldAnswers();
    }

    /// Ends a ticket of which nothing is in flight; otherwise the outcome is unknown.
    order_reply endNotRun(ticket_permit& permit)
    {
        if (permit.latch.isInFlight())
            return endUnknown(permit);
        return end(permit, { .reason = reply_reason::Refused, .execution = execution_state::NotRun });
    }

    /// The reply of a dispatch was lost or broken; no other dispatch follows.
    order_reply endUnknown(ticket_permit& permit) { return end(permit, { .reason = reply_reason::OutcomeLost }); }

    /// Returns how many redeemed tickets are remembered.
    std::size_t recordCount() const
    {
        const std::lock_guard lock(m_mutex);
        return m_records.size();
    }

    /// Returns how many bytes of answers are kept.
    std::size_t answerBytes() const
    {
        const std::lock_guard lock(m_mutex);
        return m_answerBytes;
    }

private:
    static constexpr std::size_t maximumStoredBody = 16 * std::size_t { 1024 };

    ticket_outcome redeemOwn(const order_ticket& ticket, std::uint64_t fingerprint)
    {
        const time_point now = m_clock.now();
        forgetOld(now);
        if (const auto known = m_records.find(ticket.serial); known != m_records.end()) {
            if (known->second.fingerprint != fingerprint)
                return order_reply { .reason = reply_reason::KeyReused, .execution = execution_state::NotRun };
            return known->second.reply;
        }
        // A record would still be here during the retention, so its absence proves that it never ran.
        if (now > ticket.expiry + m_options.retention)
            return order_reply { .reason = reply_reason::TicketExpired };
        if (now > ticket.expiry)
            return order_reply { .reason = reply_reason::TicketExpired, .execution = execution_state::NotRun };
        if (m_records.size() >= m_options.maximumRecords)
            return order_reply { .reason = reply_reason::TicketsFull };
        m_records.emplace(ticket.serial, ticket_record { .fingerprint = fingerprint, .expiry = ticket.expiry });
        return ticket_permit { .serial = ticket.serial };
    }

    order_reply end(ticket_permit& permit, order_reply reply)
    {
        permit.latch.end();
        const std::lock_guard lock(m_mutex);
        if (const auto record = m_records.find(permit.serial); record != m_records.end())
            record->second.reply = reply;
        return reply;
    }

    // Serials rise with the expiry, so the oldest records come first.
    void forgetOld(time_point now)
    {
        while (!m_records.empty() && now > m_records.begin()->second.expiry + m_options.retention) {
            m_answerBytes -= m_records.begin()->second.reply.answer.body.size();
            m_records.erase(m_records.begin());
        }
    }

    void dropOldAnswers()
    {
        for (auto& [serial, record] : m_records) {
            if (m_answerBytes <= m_options.maximumAnswerBytes)
                return;
            if (record.reply.answer.body.empty())
                continue;
            m_answerBytes -= record.reply.answer.body.size();
            record.reply.reason = reply_reason::AnswerNotKept;
            record.reply.answer.body = {};
            record.reply.answer.isBodyKept = false;
        }
    }

    const Clock& m_clock;
    ticket_book_options m_options;
    mutable ranked_mutex m_mutex { lock_rank::Orders };
    ticket_serial m_lastSerial;
    std::map<ticket_serial, ticket_record> m_records;
    std::size_t m_answerBytes = 0;
};

} // namespace radishflow
