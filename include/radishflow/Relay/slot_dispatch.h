// Declares slot_dispatch, which holds the slots of services with few of them for the daemons that dispatch their requests.
#pragma once

#include "radishflow/Routing/chosen_server.h"
#include "radishflow/Routing/dispatch_plan.h"
#include "radishflow/Routing/slot_queue.h"
#include "radishflow/Support/boottime_clock.h"
#include "radishflow/Support/ranked_mutex.h"

#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace radishflow {

/// The slots of a service's servers that this daemon may use, with exact counters. Thread-safe under one lock of rank Admission.
class slot_pool {
public:
    /// Sets the slots of each server. Those of a server that is left out are lost when its requests end.
    void setSlots(std::map<server_id, std::size_t> slots);

    slot_queue<boottime_clock>::admission enter(const slot_request&);
    /// Waits for the turn of a request and calls choose(servers) with the servers that have a free slot, until it returns one; returns
    /// nothing if the request has waited for as long as it may, or isCancelled(). The ticket is used up. The functions are called under
    /// the lock.
    std::optional<chosen_server> awaitServer(slot_ticket, const std::function<std::optional<chosen_server>(const std::set<server_id>&)>& choose, const std::function<bool()>& isCancelled);
    /// Frees a slot; `held` is not set for a request that the server did not run.
    void release(const server_id&, std::optional<duration> held);

    std::size_t waiting() const;
    std::size_t busy() const;

private:
    std::set<server_id> freeServers() const;
    /// Wakes the request whose turn it is; the caller holds the lock.
    void wakeNext();

    boottime_clock m_clock;
    mutable ranked_mutex m_mutex { lock_rank::Admission };
    slot_queue<boottime_clock> m_queue { m_clock };
    std::map<server_id, std::size_t> m_slots;
    std::map<server_id, std::size_t> m_inUse;
    std::map<slot_ticket, std::condition_variable_any*> m_waiters;
};

/// Holds a slot until it is destroyed.
class held_slot {
public:
    held_slot(slot_pool& pool, server_id server)
        : m_pool(pool)
        , m_server(std::move(server))
    {
    }
    ~held_slot() { m_pool.release(m_server, m_hasRun ? std::optional { boottime_clock {}.now() - m_since } : std::nullopt); }
    held_slot(const held_slot&) = delete;
    held_slot& operator=(const held_slot&) = delete;

    /// Records that the server did not run the request.
    void recordNotRun() { m_hasRun = false; }

private:
    slot_pool& m_pool;
    server_id m_server;
    time_point m_since { boottime_clock {}.now() };
    bool m_hasRun = true;
};

/// Keeps the plan and the pool of each service. Thread-safe under one lock, which is never held during a call of a pool.
class slot_dispatch {
public:
    /// `needsDispatch(service)` returns whether the servers of a service may be short of room without stating their load.
    explicit slot_dispatch(std::function<bool(const service_id&)> needsDispatch);

    /// Returns the plan for a service with the given servers and fleet, which is empty if it is not dispatched.
    std::shared_ptr<const dispatch_plan> planFor(const service_id&, const std::shared_ptr<const server_list>&, const std::shared_ptr<const fleet_view>&);
    /// Returns the pool of a service, which lives as long as this object.
    slot_pool& poolOf(const service_id&);
    /// Returns the daemons that dispatch any service, except this one.
    std::vector<fleet_daemon> dispatchers() const;
    /// Return the sums over all services.
    std::size_t waiting() const;
    std::size_t busy() const;

private:
    struct service_state {
        std::shared_ptr<const server_list> servers;
        std::shared_ptr<const fleet_view> fleet;
        std::shared_ptr<const dispatch_plan> plan = std::make_shared<const dispatch_plan>();
        slot_pool pool;
    };

    service_state& stateOf(const service_id&);

    std::function<bool(const service_id&)> m_needsDispatch;
    mutable std::mutex m_mutex;
    std::map<service_id, std::unique_ptr<service_state>> m_services; ///< Entries are never removed.
};

} // namespace radishflow
