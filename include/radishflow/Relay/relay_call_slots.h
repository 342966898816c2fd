// Implements the part of relay_call that sends requests of services with few slots by way of the daemons that dispatch them.
#pragma once

#include "radishflow/Support/hashing.h"

#include <algorithm>
#include <chrono>
#include <optional>
#include <set>
#include <utility>

namespace radishflow {

// Daemons to which a request is dispatched one after the other, each with slots of its own.
inline constexpr int maxDispatches = 2;
// When callers return whose request has waited for a slot in vain.
inline constexpr std::chrono::milliseconds overdueRetryAfter { 100 };

template <relay_protocol Protocol>
std::shared_ptr<const dispatch_plan> relay_call<Protocol>::dispatchPlan()
{
    return m_context.slots.planFor(m_admitted.service, m_context.routing.servers(), m_context.routing.fleet());
}

// A daemon that dispatches itself uses its own slots first.
template <relay_protocol Protocol>
std::optional<fleet_daemon> relay_call<Protocol>::nextDispatcher()
{
    if (m_forwarded || m_dispatches >= maxDispatches || !mayRunAgain(*m_admitted.target, m_history))
        return std::nullopt;
    const auto plan = dispatchPlan();
    if (!plan->isDispatched() || plan->dispatchesItself())
        return std::nullopt;
    const std::uint64_t first = stableHash(m_request.id.value(), "dispatch");
    for (std::size_t step = 0; step < plan->dispatchers.size(); ++step) {
        const fleet_daemon& daemon = plan->dispatchers[(first + step) % plan->dispatchers.size()];
        const bool wasTried = std::find(m_triedPeers.begin(), m_triedPeers.end(), daemon.id) != m_triedPeers.end();
        if (!wasTried && m_context.access.peers().tryStart(daemon))
            return daemon;
    }
    return std::nullopt;
}

// What a dispatcher refuses for want of slots must not reach the servers around it.
template <relay_protocol Protocol>
std::optional<typename relay_call<Protocol>::attempt_result> relay_call<Protocol>::attemptAtDispatcher()
{
    const auto dispatcher = nextDispatcher();
    if (!dispatcher) {
        m_isFinal = m_isFinal || m_wasRefusedSlot;
        return m_isFinal ? std::optional { attempt_result::Failed } : std::nullopt;
    }
    ++m_dispatches;
    return attemptAt(*dispatcher);
}

template <relay_protocol Protocol>
std::optional<chosen_server> relay_call<Protocol>::chooseServerWithSlot()
{
    slot_pool& pool = m_context.slots.poolOf(m_admitted.service);
    // Spread, so that refused callers do not return together.
    const auto spread = [this](duration wait) { return wait + wait * static_cast<int>(stableHash(m_request.id.value()) % 100) / 100; };
    const auto admission = pool.enter({ .objective = m_message.receivedAt + m_admitted.target->objective, .deadline = m_deadline, .priority = m_admitted.priority() });
    if (!admission.ticket) {
        m_slotRetryAfter = spread(admission.retryAfter);
        return std::nullopt;
    }
    const auto choose = [&](const std::set<server_id>& free) {
        server_query query = queryFor(*m_fleet);
        query.allowed = &free;
        return m_context.balancer.startRequest(*m_servers, query);
    };
    auto server = pool.awaitServer(*admission.ticket, choose, [this] { return now() >= m_deadline || m_caller.hasPeerDisconnected(); });
    if (server)
        m_slot.emplace(pool, server->server.id);
    else
        m_slotRetryAfter = spread(overdueRetryAfter);
    return server;
}

} // namespace radishflow
