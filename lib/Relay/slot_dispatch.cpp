// Implements the pools of slots and the plans by which services are dispatched.
#include "radishflow/Relay/slot_dispatch.h"

#include <numeric>
#include <utility>

namespace radishflow {

// How often a waiting request checks whether its caller has left.
static constexpr std::chrono::milliseconds cancellationInterval { 50 };
// How often one whose turn it is checks whether a server with a free slot takes requests again.
static constexpr std::chrono::milliseconds choiceInterval { 20 };

void slot_pool::setSlots(std::map<server_id, std::size_t> slots)
{
    const std::lock_guard lock { m_mutex };
    if (slots == m_slots)
        return;
    m_slots = std::move(slots);
    m_queue.setSlots(std::accumulate(m_slots.begin(), m_slots.end(), std::size_t { 0 }, [](std::size_t sum, const auto& entry) { return sum + entry.second; }));
    wakeNext();
}

slot_queue<boottime_clock>::admission slot_pool::enter(const slot_request& request)
{
    const std::lock_guard lock { m_mutex };
    return m_queue.enter(request);
}

std::set<server_id> slot_pool::freeServers() const
{
    std::set<server_id> free;
    for (const auto& [server, slots] : m_slots) {
        const auto used = m_inUse.find(server);
        if (used == m_inUse.end() || used->second < slots)
            free.insert(server);
    }
    return free;
}

void slot_pool::wakeNext()
{
    const auto next = m_queue.next();
    const auto waiter = next ? m_waiters.find(*next) : m_waiters.end();
    if (waiter != m_waiters.end())
        waiter->second->notify_one();
}

std::optional<chosen_server> slot_pool::awaitServer(slot_ticket ticket, const std::function<std::optional<chosen_server>(const std::set<server_id>&)>& choose, const std::function<bool()>& isCancelled)
{
    std::condition_variable_any turn;
    std::unique_lock lock { m_mutex };
    m_waiters.emplace(ticket, &turn);
    std::optional<chosen_server> server;
    while (true) {
        const bool isNext = m_queue.next() == ticket;
        if (isNext)
            server = choose(freeServers());
        // Without a request at any server, waiting would free none.
        if (server || (isNext && m_queue.busySlots() == 0) || m_queue.isOverdue(ticket) || isCancelled())
            break;
        turn.wait_for(lock, isNext ? choiceInterval : cancellationInterval);
    }
    m_waiters.erase(ticket);
    if (server) {
        m_queue.start(ticket);
        ++m_inUse[server->server.id];
    } else {
        m_queue.leave(ticket);
    }
    wakeNext();
    return server;
}

void slot_pool::release(const server_id& server, std::optional<duration> held)
{
    const std::lock_guard lock { m_mutex };
    if (const auto used = m_inUse.find(server); used != m_inUse.end() && --used->second == 0)
        m_inUse.erase(used);
    m_queue.finish(held);
    wakeNext();
}

std::size_t slot_pool::waiting() const
{
    const std::lock_guard lock { m_mutex };
    return m_queue.waiting();
}

std::size_t slot_pool::busy() const
{
    const std::lock_guard lock { m_mutex };
    return m_queue.busySlots();
}

slot_dispatch::slot_dispatch(std::function<bool(const service_id&)> needsDispatch)
    : m_needsDispatch(std::move(needsDispatch))
{
}

slot_dispatch::service_state& slot_dispatch::stateOf(const service_id& service)
{
    const std::lock_guard lock { m_mutex };
    auto& state = m_services[service];
    if (!state)
        state = std::make_unique<service_state>();
    return *state;
}

std::shared_ptr<const dispatch_plan> slot_dispatch::planFor(const service_id& service, const std::shared_ptr<const server_list>& servers, const std::shared_ptr<const fleet_view>& fleet)
{
    static const auto none = std::make_shared<const dispatch_plan>();
    if (!m_needsDispatch(service))
        return none;
    service_state& state = stateOf(service);
    std::shared_ptr<const dispatch_plan> plan;
    {
        const std::lock_guard lock { m_mutex };
        if (state.servers == servers && state.fleet == fleet)
            return state.plan;
        plan = std::make_shared<const dispatch_plan>(planDispatch(*fleet, *servers, service));
        state.servers = servers;
        state.fleet = fleet;
        state.plan = plan;
    }
    std::map<server_id, std::size_t> slots = plan->ownSlots;
    std::erase_if(slots, [&](const auto& entry) { return !servers->takesNewWork(servers->servers.at(entry.first)); });
    state.pool.setSlots(std::move(slots));
    return plan;
}

slot_pool& slot_dispatch::poolOf(const service_id& service)
{
    return stateOf(service).pool;
}

std::vector<fleet_daemon> slot_dispatch::dispatchers() const
{
    const std::lock_guard lock { m_mutex };
    std::vector<fleet_daemon> daemons;
    for (const auto& [service, state] : m_services) {
        if (!state->plan->dispatchesItself())
            daemons.insert(daemons.end(), state->plan->dispatchers.begin(), state->plan->dispatchers.end());
    }
    return daemons;
}

std::size_t slot_dispatch::waiting() const
{
    const std::lock_guard lock { m_mutex };
    return std::accumulate(m_services.begin(), m_services.end(), std::size_t { 0 }, [](std::size_t sum, const auto& entry) { return sum + entry.second->pool.waiting(); });
}

std::size_t slot_dispatch::busy() const
{
    const std::lock_guard lock { m_mutex };
    return std::accumulate(m_services.begin(), m_services.end(), std::size_t { 0 }, [](std::size_t sum, const auto& entry) { return sum + entry.second->pool.busy(); });
}

} // namespace radishflow
