// Declares own_pages, the pages that a daemon answers itself.
#pragma once

#include "radishflow/Config/config_store.h"
#include "radishflow/Daemon/daemon_options.h"
#include "radishflow/Daemon/fleet_directory.h"
#include "radishflow/Daemon/fleet_watch.h"
#include "radishflow/Daemon/order_runner.h"
#include "radishflow/Daemon/request_runner.h"
#include "radishflow/Daemon/server_gates.h"
#include "radishflow/Edge/document.h"
#include "radishflow/Edge/document_request.h"

#include <string>

namespace radishflow {

/// Addresses for callers, health, metrics and the state dump. Thread-safe.
class own_pages {
public:
    /// Every reference outlives the pages.
    struct parts {
        const daemon_options& options;
        const config_store& configuration;
        const fleet_directory& directory;
        const server_gates& gates;
        const request_runner& runner;
        const ownership_keeper& ownership;
        gossip_transport& gossip;
        fleet_watch& watch;
        order_runner& orders;
        std::string ownHttp; ///< "IP:port" of the callers' interface.
    };

    explicit own_pages(const parts& theParts)
        : m_parts(theParts)
        , m_zones(theParts.gossip)
    {
    }

    document answer(const document_request&);

private:
    document addresses(const document_request&);
    document order(const document_request&);
    document changeZone(const document_request&);
    document state() const;
    bool isReady() const;

    parts m_parts;
    zone_register<gossip_transport> m_zones;
};

} // namespace radishflow
