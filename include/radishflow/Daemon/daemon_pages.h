// Declares daemon_pages, the HTTP pages served by the daemon itself.
#pragma once

#include "radishflow/Config/config_store.h"
#include "radishflow/Daemon/daemon_options.h"
#include "radishflow/Daemon/fleet_directory.h"
#include "radishflow/Daemon/fleet_monitor.h"
#include "radishflow/Daemon/order_runner.h"
#include "radishflow/Daemon/request_runner.h"
#include "radishflow/Daemon/server_admission.h"
#include "radishflow/Edge/document.h"
#include "radishflow/Edge/document_request.h"

#include <string>

namespace radishflow {

/// Serves addresses for callers, health and readiness, orders, zone changes and the state dump. Thread-safe.
class daemon_pages {
public:
    /// Every reference must outlive this object.
    struct dependencies {
        const daemon_options& options;
        const config_store& configuration;
        const fleet_directory& directory;
        const server_admission& admission;
        const request_runner& runner;
        const shared_ownership& ownership;
        gossip_transport& gossip;
        fleet_monitor& fleetMonitor;
        order_runner& orders;
        std::string ownHttp; ///< "IP:port" of the callers' interface.
    };

    explicit daemon_pages(const dependencies& theDependencies)
        : m_dependencies(theDependencies)
        , m_zones(theDependencies.gossip)
    {
    }

    document answer(const document_request&);

private:
    document addresses(const document_request&);
    document order(const document_request&);
    document changeZone(const document_request&);
    document state() const;
    bool isReady() const;

    dependencies m_dependencies;
    zone_register<gossip_transport> m_zones;
};

} // namespace radishflow
