// Declares own_pages, the pages that a daemon answers itself.
#pragma once

#include "radishflow/Config/config_store.h"
#include "radishflow/Daemon/daemon_options.h"
#include "radishflow/Daemon/fleet_directory.h"
#include "radishflow/Daemon/request_runner.h"
#include "radishflow/Daemon/server_gates.h"
#include "radishflow/Edge/document.h"
#include "radishflow/Edge/document_request.h"

namespace radishflow {

/// Addresses for callers, health, metrics and the state dump. Thread-safe.
class own_pages {
public:
    own_pages(const daemon_options& options, const config_store& configuration, const fleet_directory& directory, const server_gates& gates, const request_runner& runner)
        : m_options(options)
        , m_configuration(configuration)
        , m_directory(directory)
        , m_gates(gates)
        , m_runner(runner)
    {
    }

    document answer(const document_request&) const;

private:
    document addresses(const document_request&) const;
    document state() const;
    bool isReady() const;

    const daemon_options& m_options;
    const config_store& m_configuration;
    const fleet_directory& m_directory;
    const server_gates& m_gates;
    const request_runner& m_runner;
};

} // namespace radishflow
