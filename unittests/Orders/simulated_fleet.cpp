// Implements the fleet in one thread.
#include "simulated_fleet.h"

#include <algorithm>
#include <string>
#include <utility>

namespace radishflow {

static constexpr int maximumDepth = 3;
static constexpr std::size_t maximumOpenCalls = 40;

result<table_page> faulty_table::readRange(const std::string& prefix, std::int64_t minModRevision)
{
    return fleet->m_table.readRange(prefix, minModRevision);
}

result<table_commit> faulty_table::commit(const std::vector<row_condition>& conditions, const std::vector<row_write>& writes)
{
    fleet->act();
    if (!*isAlive)
        return fail({ .code = failure_code::Unreachable, .step = "write table", .peer = "killed" });
    if (fleet->fault(0.02)) {
        fleet->m_delayedWrites.emplace_back([table = &fleet->m_table, conditions, writes] { std::ignore = table->commit(conditions, writes); });
        return fail({ .code = failure_code::ReplyLost, .step = "write table", .peer = "delayed" });
    }
    result<table_commit> outcome = fleet->m_table.commit(conditions, writes);
    fleet->act();
    return outcome;
}

bool doubtful_liveness::operator()(const daemon_id& daemon, incarnation_number incarnation) const
{
    const bool isAlive = std::any_of(fleet->m_daemons.begin(), fleet->m_daemons.end(),
        [&](const auto& process) { return process->id == daemon && process->incarnation == incarnation; });
    return isAlive && !fleet->fault(0.05);
}

simulated_fleet::daemon_process::daemon_process(simulated_fleet& fleet, int daemon, std::uint64_t number)
    : id("d" + std::to_string(daemon))
    , incarnation(number)
    , table { .fleet = &fleet, .isAlive = &isAlive }
    , orders(table, doubtful_liveness { &fleet }, { .daemon = id, .incarnation = incarnation, .recordsDispatch = fleet.m_options.recordsDispatch })
    , tickets(fleet.m_clock, { .daemon = id, .incarnation = incarnation, .secret = id.value() + std::to_string(number) })
{
}

simulated_fleet::simulated_fleet(simulated_fleet_options options)
    : m_options(options)
    , m_random(options.seed)
    , m_hasFaults(options.hasFaults)
{
    for (int i = 0; i < options.daemons; ++i)
        m_daemons.push_back(std::make_shared<daemon_process>(*this, i, 1));
}

fleet_tally simulated_fleet::run()
{
    while (m_orders.size() < static_cast<std::size_t>(m_options.orders)) {
        act();
        m_clock.advance(std::chrono::milliseconds { 1 });
    }
    endFaults();
    m_depth = 1; // No new orders.
    finishCalls();
    for (const auto& daemon : m_daemons)
        daemon->orders.recordPending(m_orders.size());
    const int commits = m_table.commits;
    for (std::size_t i = 0; i < m_orders.size(); ++i) {
        addCall(i);
        finishCalls();
    }
    fleet_tally tally = judge();
    tally.commits = commits;
    return tally;
}

void simulated_fleet::act()
{
    if (m_depth >= maximumDepth)
        return;
    ++m_depth;
    if (m_depth == 1 && m_calls.size() < maximumOpenCalls && chance(0.2))
        addOrder();
    if (m_hasFaults)
        changeFaults();
    if (chance(0.3))
        runAtBackend();
    if (chance(0.02)) {
        // Held here, as it may be killed and replaced meanwhile.
        const std::shared_ptr<daemon_process> daemon = m_daemons[below(m_daemons.size())];
        daemon->orders.recordPending(4);
    }
    if (!m_calls.empty()) {
        const std::shared_ptr<call> chosen = m_calls[below(m_calls.size())];
        if (!chosen->isBusy) {
            if (chosen->step == call_step::Send)
                send(chosen);
            else
                step(*chosen);
        }
    }
    std::erase_if(m_calls, [](const auto& one) { return !one->isBusy && (one->step == call_step::Over || !one->daemon->isAlive); });
    --m_depth;
}

void simulated_fleet::changeFaults()
{
    if (chance(m_table.isDown ? 0.01 : 0.0005))
        m_table.isDown = !m_table.isDown;
    if (chance(0.01))
        ++(chance(0.5) ? m_table.loseReplies : m_table.loseRequests);
    if (!m_delayedWrites.empty() && chance(0.02)) {
        m_delayedWrites.back()();
        m_delayedWrites.pop_back();
    }
    if (chance(0.002))
        restart(below(m_daemons.size()));
    if (!m_orders.empty() && chance(0.1))
        addCall(m_orders.size() - 1 - below(std::min<std::size_t>(m_orders.size(), 30)));
}

void simulated_fleet::restart(std::size_t daemon)
{
    std::shared_ptr<daemon_process>& process = m_daemons[daemon];
    process->isAlive = false;
    ++m_kills;
    process = std::make_shared<daemon_process>(*this, static_cast<int>(daemon), process->incarnation.value() + 1);
}

void simulated_fleet::addOrder()
{
    order request { .workspace = workspace_id { "w" }, .key = idempotency_key { "k" + std::to_string(m_orders.size()) }, .fingerprint = m_orders.size() };
    if (m_options.usesTickets)
        request.key = m_daemons[below(m_daemons.size())]->tickets.issue(request.workspace);
    m_orders.push_back({ .request = std::move(request) });
    addCall(m_orders.size() - 1);
}

// An order with a ticket is forwarded to its issuer's address, whoever runs there now.
void simulated_fleet::addCall(std::size_t orderIndex)
{
    std::shared_ptr<daemon_process> daemon = m_daemons[below(m_daemons.size())];
    if (const auto ticket = parseTicket(m_orders[orderIndex].request.key)) {
        for (const auto& process : m_daemons) {
            if (process->id == ticket->daemon)
                daemon = process;
        }
    }
    m_calls.push_back(std::make_shared<call>(call { .daemon = std::move(daemon), .orderIndex = orderIndex }));
}

void simulated_fleet::step(call& one)
{
    if (!one.daemon->isAlive)
        return;
    one.isBusy = true;
    switch (one.step) {
    case call_step::Start:
        begin(one);
        break;
    case call_step::Mark:
        mark(one);
        break;
    case call_step::Wait:
        if (fault(0.01))
            loseOutcome(one);
        break;
    case call_step::Record:
        record(one);
        break;
    case call_step::Send:
    case call_step::Over:
        break;
    }
    one.isBusy = false;
}

void simulated_fleet::begin(call& one)
{
    const order request = m_orders[one.orderIndex].request;
    one.step = call_step::Mark;
    if (isTicket(request.key)) {
        ticket_outcome outcome = one.daemon->tickets.redeem(request);
        if (const auto* reply = std::get_if<order_reply>(&outcome))
            return tell(one, *reply);
        one.permit = std::get<ticket_permit>(std::move(outcome));
        return;
    }
    const attempt_id attempt { "a" + std::to_string(++m_attempts) };
    if (fault(0.1))
        return tell(one, one.daemon->orders.refuse(request, attempt));
    claim_outcome outcome = one.daemon->orders.claim(request, attempt);
    if (const auto* reply = std::get_if<order_reply>(&outcome))
        return tell(one, *reply);
    one.claim = std::get<order_claim>(std::move(outcome));
}

void simulated_fleet::mark(call& one)
{
    const bool mayDispatch = one.claim ? one.daemon->orders.markDispatching(*one.claim) : one.permit->latch.open();
    if (!mayDispatch)
        return giveUp(one);
    one.step = call_step::Send;
}

void simulated_fleet::send(const std::shared_ptr<call>& one)
{
    if (!one->daemon->isAlive)
        return;
    if (fault(0.2)) {
        (one->claim ? one->claim->latch : one->permit->latch).noteRefused();
        one->step = call_step::Mark;
        if (one->triesLeft-- == 0)
            giveUp(*one);
        return;
    }
    one->step = call_step::Wait;
    if (!fault(0.02))
        m_atBackend.push_back(one);
}

// The backend server runs what reached it, also after its sender was killed or has given up waiting.
void simulated_fleet::runAtBackend()
{
    if (m_atBackend.empty())
        return;
    std::swap(m_atBackend[below(m_atBackend.size())], m_atBackend.back());
    const std::shared_ptr<call> one = m_atBackend.back();
    m_atBackend.pop_back();
    ++m_orders[one->orderIndex].runs;
    if (one->step == call_step::Wait && !one->isBusy && !fault(0.02))
        one->step = call_step::Record;
}

void simulated_fleet::record(call& one)
{
    const stored_answer answer { .status = 201, .contentType = {}, .body = "done" };
    if (one.claim)
        one.daemon->orders.recordDone(*one.claim, answer);
    else
        one.daemon->tickets.recordDone(*one.permit, answer);
    tell(one, { .reason = reply_reason::Replayed, .execution = execution_state::Done });
}

void simulated_fleet::giveUp(call& one)
{
    tell(one, one.claim ? one.daemon->orders.endNotRun(*one.claim) : one.daemon->tickets.endNotRun(*one.permit));
}

void simulated_fleet::loseOutcome(call& one)
{
    tell(one, one.claim ? one.daemon->orders.endUnknown(*one.claim) : one.daemon->tickets.endUnknown(*one.permit));
}

void simulated_fleet::tell(call& one, const order_reply& reply)
{
    one.step = call_step::Over;
    if (!one.daemon->isAlive)
        return;
    order_history& history = m_orders[one.orderIndex];
    history.last = reply;
    history.wasToldNotRun |= reply.execution == execution_state::NotRun;
    history.wasToldDone |= reply.execution == execution_state::Done;
}

void simulated_fleet::endFaults()
{
    m_hasFaults = false;
    m_table.isDown = false;
    m_table.loseReplies = m_table.loseRequests = 0;
    for (const auto& write : std::exchange(m_delayedWrites, {}))
        write();
}

// Calls whose dispatch was lost wait for ever, so they time out here.
void simulated_fleet::finishCalls()
{
    while (!m_calls.empty() || !m_atBackend.empty()) {
        act();
        const bool allWait = std::all_of(m_calls.begin(), m_calls.end(), [](const auto& one) { return one->step == call_step::Wait; });
        if (!allWait || !m_atBackend.empty())
            continue;
        for (const auto& one : std::exchange(m_calls, {}))
            loseOutcome(*one);
    }
}

fleet_tally simulated_fleet::judge()
{
    fleet_tally tally { .kills = m_kills };
    for (const auto& daemon : m_daemons)
        tally.pending += static_cast<int>(daemon->orders.pendingCount());
    for (const order_history& history : m_orders) {
        tally.ranTwice += history.runs > 1;
        tally.notRunYetRan += history.wasToldNotRun && history.runs > 0;
        tally.doneYetNotRun += history.wasToldDone && history.runs == 0;
        tally.done += history.wasToldDone;
        tally.notRun += history.wasToldNotRun;
        tally.unknown += !history.wasToldDone && !history.wasToldNotRun;
        tally.lastUnknown += history.last.execution == execution_state::Unknown;
    }
    return tally;
}

} // namespace radishflow
