// Declares fleet_config, the checked settings of all services and workspaces.
#pragma once

#include "radishflow/Config/service_settings.h"
#include "radishflow/Config/workspace_settings.h"

#include <string>
#include <unordered_map>

namespace radishflow {

/// One accepted set of service files. Thread-safe while it is not changed.
struct fleet_config {
    std::unordered_map<service_id, service_settings> services;
    std::unordered_map<workspace_id, workspace_settings> workspaces;
    std::unordered_map<model_id, service_id> serviceOfModel;

    friend bool operator==(const fleet_config&, const fleet_config&) = default;
};

/// Returns nullptr when there is no such service.
const service_settings* findService(const fleet_config&, const service_id&);

/// Returns nullptr when there is no such workspace.
const workspace_settings* findWorkspace(const fleet_config&, const workspace_id&);

/// Returns the service that serves a model, or nullptr.
const service_settings* findServiceOfModel(const fleet_config&, const model_id&);

/// Returns one line for logs and the state dump.
std::string describe(const fleet_config&);

/// Returns the canonical text: equal settings give equal text, and parseServiceFiles reads it back.
std::string serialize(const fleet_config&);

} // namespace radishflow
