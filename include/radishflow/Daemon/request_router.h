// Declares request_router, which handles a request at the daemon that received it.
#pragma once

#include "radishflow/Config/config_store.h"
#include "radishflow/Config/fleet_config.h"
#include "radishflow/Daemon/daemon_options.h"
#include "radishflow/Daemon/fleet_directory.h"
#include "radishflow/Daemon/order_runner.h"
#include "radishflow/Daemon/owner_client.h"
#include "radishflow/Daemon/shared_retry_budget.h"
#include "radishflow/Edge/caller_answer.h"
#include "radishflow/Edge/caller_request.h"
#include "radishflow/Placement/bounded_rendezvous.h"
#include "radishflow/Support/ids.h"

#include <vector>

namespace radishflow {

/// Checks a caller's request against the configuration in force and routes it. Thread-safe.
class request_router {
public:
    request_router(const config_store& configuration, const fleet_directory& directory, owner_client& ownerClient, shared_retry_budget& retries, order_runner& orders, const daemon_options& options)
        : m_configuration(configuration)
        , m_directory(directory)
        , m_ownerClient(ownerClient)
        , m_retries(retries)
        , m_orders(orders)
        , m_options(options)
    {
    }

    caller_answer route(const caller_request&);

private:
    request_submission submissionOf(const caller_request&, const service_settings&, const workspace_settings&) const;
    std::vector<known_server> rankServers(const service_settings&, const caller_request&) const;

    const config_store& m_configuration;
    const fleet_directory& m_directory;
    owner_client& m_ownerClient;
    shared_retry_budget& m_retries;
    order_runner& m_orders;
    const daemon_options& m_options;
    bounded_rendezvous m_placement;
};

} // namespace radishflow
