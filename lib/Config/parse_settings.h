// Declares the readers of one service and one workspace.
#pragma once

#include "radishflow/Config/service_settings.h"
#include "radishflow/Config/workspace_settings.h"

#include "mapping_reader.h"

namespace radishflow {

/// Reads one service; problems go to the reader.
service_settings parseService(service_id, const std::string& file, mapping_reader&, std::vector<config_problem>&);

/// Reads one workspace; whether its services exist is checked by the caller.
workspace_settings parseWorkspace(workspace_id, mapping_reader&);

} // namespace radishflow
