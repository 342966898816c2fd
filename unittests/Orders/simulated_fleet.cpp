// Implements the simulated fleet: random steps of its daemons, its callers and the backend server, and injected faults.
#include "simulated_fleet.h"

#include <algorithm>
#include <string>
#include <utility>

namespace radishflow {

static constexpr int maximumNesting = 3;
static constexpr std::size_t maximumOpenCalls = 40;

result<table_page> faulty_table::readRange(const std::string& prefix, std::int64_t minModRevision)
{
    return fleet->m_table.readRange(prefix, minModRevision);
}

result<table_commit> faulty_table::commit(const std::vector<row_condition>& conditions, const std::vector<row_write>& writes)
{
    fleet->runRandomStep();
    if (!*isAlive)
        return fail({ .code = failure_code::Unreachable, .step = "write table", .peer = "killed" });
    if (fleet->injectFault(0.02)) {
        fleet->m_delayedWrites.emplace_back([table = &fleet->m_table, conditions, writes] { std::ignore = table->commit(conditions, writes); });
        return fail({ .code = failure_code::ReplyLost, .step = "write table", .peer = "delayed" });
    }
    result<table_commit> outcome = fleet->m_table.commit(conditions, writes);
    fleet->runRandomStep();
    return outcome;
}

bool unreliable_liveness_check::operator()(const daemon_id& daemon, incarnation_number incarnation) const
{
    const bool isAlive = std::any_of(fleet->m_daemons.begin(), fleet->m_daemons.end(),
        [&](const auto& process) { return process->id == daemon && process->incarnation == incarnation; });
    return isAlive && !fleet->injectFault(0.05);
}

simulated_fleet::daemon_process::daemon_process(simulated_fleet& fleet, int daemon, std::uint64_t number)
    : id("d" + std::to_string(daemon))
    , incarnation(number)
    , table { .fleet = &fleet, .isAlive = &isAlive }
    , orders(table, unreliable_liveness_check { &fleet }, { .daemon = id, .incarnation = incarnation, .recordsDispatch = fleet.m_options.recordsDispatch })
    , reservations(fleet.m_clock, { .daemon = id, .incarnation = incarnation, .secret = id.value() + std::to_string(number) })
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
        runRandomStep();
        m_clock.advance(std::chrono::milliseconds { 1 });
    }
    endFaults();
    m_nesting = 1; // Nested steps add no new orders.
    finishCalls();
    for (const auto& daemon : m_daemons)
        daemon->orders.recordPending(m_orders.size());
    const int commits = m_table.commits;
    for (std::size_t i = 0; i < m_orders.size(); ++i) {
        addCall(i);
        finishCalls();
    }
    fleet_tally tally = countResults();
    tally.commits = commits;
    return tally;
}

void simulated_fleet::runRandomStep()
{
    if (m_nesting >= maximumNesting)
        return;
    ++m_nesting;
    if (m_nesting == 1 && m_calls.size() < maximumOpenCalls && randomBool(0.2))
        addOrder();
    if (m_hasFaults)
        changeFaults();
    if (randomBool(0.3))
        runAtBackend();
    if (randomBool(0.02)) {
        // Keep the daemon alive here, since a nested step may restart it.
        const std::shared_ptr<daemon_process> daemon = m_daemons[randomIndex(m_daemons.size())];
        daemon->orders.recordPending(4);
    }
    if (!m_calls.empty()) {
        const std::shared_ptr<call> chosen = m_calls[randomIndex(m_calls.size())];
        if (!chosen->isBusy) {
            if (chosen->step == call_step::Send)
                dispatch(chosen);
            else
                advance(*chosen);
        }
    }
    std::erase_if(m_calls, [](const auto& current) { return !current->isBusy && (current->step == call_step::Ended || !current->daemon->isAlive); });
    --m_nesting;
}

void simulated_fleet::changeFaults()
{
    if (randomBool(m_table.isDown ? 0.01 : 0.0005))
        m_table.isDown = !m_table.isDown;
    if (randomBool(0.01))
        ++(randomBool(0.5) ? m_table.loseReplies : m_table.loseRequests);
    if (!m_delayedWrites.empty() && randomBool(0.02)) {
        m_delayedWrites.back()();
        m_delayedWrites.pop_back();
    }
    if (randomBool(0.002))
        restart(randomIndex(m_daemons.size()));
    if (!m_orders.empty() && randomBool(0.1))
        addCall(m_orders.size() - 1 - randomIndex(std::min<std::size_t>(m_orders.size(), 30)));
}

void simulated_fleet::restart(std::size_t daemon)
{
    std::shared_ptr<daemon_process>& process = m_daemons[daemon];
    process->isAlive = false;
    ++m_restarts;
    process = std::make_shared<daemon_process>(*this, static_cast<int>(daemon), process->incarnation.value() + 1);
}

void simulated_fleet::addOrder()
{
    order request { .workspace = workspace_id { "w" }, .key = idempotency_key { "k" + std::to_string(m_orders.size()) }, .fingerprint = m_orders.size() };
    if (m_options.usesReservations)
        request.key = m_daemons[randomIndex(m_daemons.size())]->reservations.issue(request.workspace);
    m_orders.push_back({ .request = std::move(request) });
    addCall(m_orders.size() - 1);
}

// An order with a reservation is sent to the address of its issuer, where a later incarnation may run by now.
void simulated_fleet::addCall(std::size_t orderIndex)
{
    std::shared_ptr<daemon_process> daemon = m_daemons[randomIndex(m_daemons.size())];
    if (const auto reservation = parseReservation(m_orders[orderIndex].request.key)) {
        for (const auto& process : m_daemons) {
            if (process->id == reservation->daemon)
                daemon = process;
        }
    }
    m_calls.push_back(std::make_shared<call>(call { .daemon = std::move(daemon), .orderIndex = orderIndex }));
}

void simulated_fleet::advance(call& current)
{
    if (!current.daemon->isAlive)
        return;
    current.isBusy = true;
    switch (current.step) {
    case call_step::Start:
        claimOrRedeem(current);
        break;
    case call_step::Mark:
        markDispatching(current);
        break;
    case call_step::Wait:
        if (injectFault(0.01))
            endUnknown(current);
        break;
    case call_step::Record:
        recordDone(current);
        break;
    case call_step::Send:
    case call_step::Ended:
        break;
    }
    current.isBusy = false;
}

void simulated_fleet::claimOrRedeem(call& current)
{
    const order request = m_orders[current.orderIndex].request;
    current.step = call_step::Mark;
    if (isReservation(request.key)) {
        redemption_result outcome = current.daemon->reservations.redeem(request);
        if (const auto* reply = std::get_if<order_reply>(&outcome))
            return recordReply(current, *reply);
        current.permit = std::get<reservation_permit>(std::move(outcome));
        return;
    }
    const attempt_id attempt { "a" + std::to_string(++m_attempts) };
    if (injectFault(0.1))
        return recordReply(current, current.daemon->orders.refuse(request, attempt));
    claim_result outcome = current.daemon->orders.claim(request, attempt);
    if (const auto* reply = std::get_if<order_reply>(&outcome))
        return recordReply(current, *reply);
    current.claim = std::get<order_claim>(std::move(outcome));
}

void simulated_fleet::markDispatching(call& current)
{
    const bool mayDispatch = current.claim ? current.daemon->orders.markDispatching(*current.claim) : current.permit->latch.tryBegin();
    if (!mayDispatch)
        return endNotRun(current);
    current.step = call_step::Send;
}

void simulated_fleet::dispatch(const std::shared_ptr<call>& current)
{
    if (!current->daemon->isAlive)
        return;
    if (injectFault(0.2)) {
        (current->claim ? current->claim->latch : current->permit->latch).confirmNotDispatched();
        current->step = call_step::Mark;
        if (current->dispatchesLeft-- == 0)
            endNotRun(*current);
        return;
    }
    current->step = call_step::Wait;
    if (!injectFault(0.02))
        m_dispatched.push_back(current);
}

// The backend server runs every request that reached it, even if the sending daemon was killed or stopped waiting.
void simulated_fleet::runAtBackend()
{
    if (m_dispatched.empty())
        return;
    std::swap(m_dispatched[randomIndex(m_dispatched.size())], m_dispatched.back());
    const std::shared_ptr<call> current = m_dispatched.back();
    m_dispatched.pop_back();
    ++m_orders[current->orderIndex].runs;
    if (current->step == call_step::Wait && !current->isBusy && !injectFault(0.02))
        current->step = call_step::Record;
}

void simulated_fleet::recordDone(call& current)
{
    const stored_response response { .status = 201, .contentType = {}, .body = "done" };
    if (current.claim)
        current.daemon->orders.recordDone(*current.claim, response);
    else
        current.daemon->reservations.recordDone(*current.permit, response);
    recordReply(current, { .reason = reply_reason::Replayed, .execution = execution_state::Done });
}

void simulated_fleet::endNotRun(call& current)
{
    recordReply(current, current.claim ? current.daemon->orders.endNotRun(*current.claim) : current.daemon->reservations.endNotRun(*current.permit));
}

void simulated_fleet::endUnknown(call& current)
{
    recordReply(current, current.claim ? current.daemon->orders.endUnknown(*current.claim) : current.daemon->reservations.endUnknown(*current.permit));
}

void simulated_fleet::recordReply(call& current, const order_reply& reply)
{
    current.step = call_step::Ended;
    if (!current.daemon->isAlive)
        return;
    order_history& history = m_orders[current.orderIndex];
    history.last = reply;
    history.wasReportedNotRun |= reply.execution == execution_state::NotRun;
    history.wasReportedDone |= reply.execution == execution_state::Done;
}

void simulated_fleet::endFaults()
{
    m_hasFaults = false;
    m_table.isDown = false;
    m_table.loseReplies = m_table.loseRequests = 0;
    for (const auto& write : std::exchange(m_delayedWrites, {}))
        write();
}

// A call whose dispatch was lost would wait forever. Once all remaining calls wait, they are timed out here.
void simulated_fleet::finishCalls()
{
    while (!m_calls.empty() || !m_dispatched.empty()) {
        runRandomStep();
        const bool allWait = std::all_of(m_calls.begin(), m_calls.end(), [](const auto& current) { return current->step == call_step::Wait; });
        if (!allWait || !m_dispatched.empty())
            continue;
        for (const auto& current : std::exchange(m_calls, {}))
            endUnknown(*current);
    }
}

fleet_tally simulated_fleet::countResults()
{
    fleet_tally tally { .restarts = m_restarts };
    for (const auto& daemon : m_daemons)
        tally.pending += static_cast<int>(daemon->orders.pendingCount());
    for (const order_history& history : m_orders) {
        tally.ranTwice += history.runs > 1;
        tally.falseNotRun += history.wasReportedNotRun && history.runs > 0;
        tally.falseDone += history.wasReportedDone && history.runs == 0;
        tally.done += history.wasReportedDone;
        tally.notRun += history.wasReportedNotRun;
        tally.unknown += !history.wasReportedDone && !history.wasReportedNotRun;
        tally.unknownAtEnd += history.last.execution == execution_state::Unknown;
    }
    return tally;
}

} // namespace radishflow
