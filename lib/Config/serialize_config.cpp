// Implements the canonical text of the settings, which is itself a service file.
#include "radishflow/Config/fleet_config.h"
#include "radishflow/Config/parse_units.h"

#include <yaml-cpp/yaml.h>

#include <array>
#include <charconv>
#include <map>

namespace radishflow {

template <typename T>
static void emit(YAML::Emitter& out, const char* key, const T& value)
{
    out << YAML::Key << key << YAML::Value << value;
}

template <typename Id>
static void emitIds(YAML::Emitter& out, const char* key, const std::vector<Id>& ids)
{
    out << YAML::Key << key << YAML::Value << YAML::Flow << YAML::BeginSeq;
    for (const Id& id : ids)
        out << id.value();
    out << YAML::EndSeq;
}

// The shortest text that reads back to the same number, so that hashes of equal settings are equal.
static std::string formatNumber(double value)
{
    std::array<char, 32> buffer {};
    const auto written = std::to_chars(buffer.begin(), buffer.end(), value);
    return { buffer.data(), written.ptr };
}

static void emitRepeatRules(YAML::Emitter& out, const std::vector<repeat_rule>& rules)
{
    out << YAML::Key << "repeatable" << YAML::Value << YAML::BeginSeq;
    for (const repeat_rule& rule : rules) {
        out << YAML::Flow << YAML::BeginMap;
        emit(out, "method", rule.method);
        emit(out, "path", rule.pathPrefix);
        emit(out, "repeatable", rule.isRepeatable);
        out << YAML::EndMap;
    }
    out << YAML::EndSeq;
}

static void emitService(YAML::Emitter& out, const service_settings& service)
{
    out << YAML::Key << service.id.value() << YAML::Value << YAML::BeginMap;
    emit(out, "kind", nameOf(service.kind));
    emit(out, "cold_limit", service.coldLimit);
    emit(out, "server_limit", service.serverLimit);
    emit(out, "load_multiple", formatNumber(service.loadMultiple));
    emit(out, "request_timeout", formatDuration(service.requestTimeout));
    emit(out, "max_body", formatSize(service.maxBodyBytes));
    emit(out, "checks_fencing", service.checksFencing);
    if (service.kind == service_kind::Model) {
        emitIds(out, "models", service.models);
        out << YAML::Key << "first_token" << YAML::Value << YAML::Flow << YAML::BeginMap;
        emit(out, "at_least", formatDuration(service.firstTokenRange.atLeast));
        emit(out, "at_most", formatDuration(service.firstTokenRange.atMost));
        out << YAML::EndMap;
    }
    if (!service.repeatRules.empty())
        emitRepeatRules(out, service.repeatRules);
    out << YAML::EndMap;
}

static void emitWorkspace(YAML::Emitter& out, const workspace_settings& workspace)
{
    out << YAML::Key << workspace.id.value() << YAML::Value << YAML::Flow << YAML::BeginMap;
    emit(out, "priority", workspace.priority);
    emit(out, "limit", workspace.limit);
    emit(out, "weight", workspace.weight);
    emitIds(out, "services", workspace.services);
    out << YAML::EndMap;
}

std::string serialize(const fleet_config& config)
{
    const std::map<service_id, service_settings> services(config.services.begin(), config.services.end());
    const std::map<workspace_id, workspace_settings> workspaces(config.workspaces.begin(), config.workspaces.end());
    YAML::Emitter out;
    out << YAML::BeginMap << YAML::Key << "services" << YAML::Value << YAML::BeginMap;
    for (const auto& [id, service] : services)
        emitService(out, service);
    out << YAML::EndMap << YAML::Key << "workspaces" << YAML::Value << YAML::BeginMap;
    for (const auto& [id, workspace] : workspaces)
        emitWorkspace(out, workspace);
    out << YAML::EndMap << YAML::EndMap;
    return std::string(out.c_str(), out.size()) + "\n";
}

} // namespace radishflow
