// Declares config_manifest, which names the objects that a configuration is split into.
#pragma once

#include "radishflow/Config/fleet_config.h"
#include "radishflow/Support/result.h"

#include <map>
#include <string>

namespace radishflow {

/// Name of the part that holds all services.
inline constexpr const char* servicesPartName = "services";

/// Object key of each part by the part's name. A change of one workspace changes one part.
struct config_manifest {
    std::map<std::string, std::string> objectKeys;

    friend bool operator==(const config_manifest&, const config_manifest&) = default;
};

/// Returns the name of the part that holds a workspace.
std::string partNameOf(const workspace_id&);

/// Returns the text of each part by its name; each one is a service file.
std::map<std::string, std::string> splitConfig(const fleet_config&);

/// Returns the text that is published as an object.
std::string encode(const config_manifest&);

/// Fails with failure_code::Broken when the text is not one that encode returns.
result<config_manifest> decodeConfigManifest(const std::string& text);

} // namespace radishflow
