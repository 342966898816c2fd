// Declares shared_ownership, the ownership of servers shared by all workers of a daemon.
#pragma once

#include "radishflow/Daemon/lock_releasing_table.h"
#include "radishflow/Platform/platform_client.h"
#include "radishflow/Support/boottime_clock.h"
#include "radishflow/Support/ranked_mutex.h"
#include "radishflow/Terms/ownership_table.h"

#include <mutex>
#include <optional>
#include <vector>

namespace radishflow {

/// Thread-safe; rank Ownership, which is not held while waiting for the platform.
class shared_ownership {
public:
    shared_ownership(platform_client& platform, const daemon_id& self, const term_options& options, std::uint64_t nonce)
        : m_table(platform, m_mutex)
        , m_ownership(m_clock, self, options, nonce)
    {
    }

    /// Renews terms and claims, takes over and hands over servers; called by one thread about twice a second.
    void step(const fleet_view&);

    permit admit(const server_id&, int limit);
    void recordStarted(const server_id&, term_number);
    void recordFinished(const server_id&, term_number);
    void acceptReport(const server_id&, const load_report&);

    std::optional<daemon_id> ownerOf(const server_id&) const;
    std::vector<server_id> ownedServers() const;
    term_phase phase() const;
    incarnation_number incarnation() const;

    void beginStop();
    bool isStopped() const;

private:
    boottime_clock m_clock;
    mutable ranked_mutex m_mutex { lock_rank::Ownership };
    lock_releasing_table<platform_client> m_table;
    ownership_table<boottime_clock> m_ownership;
};

} // namespace radishflow
