// Implements the parts of a configuration.
#include "radishflow/Config/config_manifest.h"

#include "radishflow/Support/hashing.h"

#include <sstream>

namespace radishflow {

// With 23,000 workspaces a part holds about 360, so that one change sends some tens of kilobytes.
static constexpr std::uint64_t workspacePartCount = 64;

std::string partNameOf(const workspace_id& id)
{
    return "workspaces-" + std::to_string(stableHash(id.value()) % workspacePartCount);
}

std::map<std::string, std::string> splitConfig(const fleet_config& config)
{
    std::map<std::string, fleet_config> parts;
    parts[servicesPartName].services = config.services;
    for (const auto& [id, workspace] : config.workspaces)
        parts[partNameOf(id)].workspaces.emplace(id, workspace);
    std::map<std::string, std::string> texts;
    for (const auto& [name, part] : parts)
        texts.emplace(name, serialize(part));
    return texts;
}

std::string encode(const config_manifest& manifest)
{
    std::string text;
    for (const auto& [name, key] : manifest.objectKeys)
        text.append(name).append(" ").append(key).append("\n");
    return text;
}

result<config_manifest> decodeConfigManifest(const std::string& text)
{
    config_manifest manifest;
    std::istringstream lines(text);
    std::string name;
    std::string key;
    while (lines >> name >> key)
        manifest.objectKeys.emplace(name, key);
    if (!manifest.objectKeys.contains(servicesPartName) || encode(manifest) != text)
        return fail({ .code = failure_code::Broken, .step = "read configuration manifest", .peer = "object store" });
    return manifest;
}

} // namespace radishflow
