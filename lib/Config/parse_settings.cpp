// Implements the readers of one service and one workspace.
#include "parse_settings.h"

#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <array>

namespace radishflow {

static constexpr int maximumConcurrency = 100'000;
static constexpr int maximumWeight = 1000;
static constexpr int leastUrgentPriority = 7;
static constexpr double minimumLoadMultiple = 1.1;
static constexpr double maximumLoadMultiple = 4;
static constexpr duration_range allowedRequestTimeout { .atLeast = std::chrono::milliseconds { 100 }, .atMost = std::chrono::hours { 2 } };
static constexpr duration_range allowedFirstToken { .atLeast = {}, .atMost = std::chrono::minutes { 10 } };
static constexpr std::int64_t maximumBodyBytes = 64LL * 1024 * 1024;

template <typename Id>
static std::vector<Id> idsOf(std::vector<std::string> texts)
{
    std::sort(texts.begin(), texts.end());
    std::vector<Id> ids;
    ids.reserve(texts.size());
    for (std::string& text : texts)
        ids.emplace_back(std::move(text));
    return ids;
}

static void parseKind(mapping_reader& reader, service_kind& kind)
{
    std::string word;
    reader.readText("kind", word);
    if (word == nameOf(service_kind::Model))
        kind = service_kind::Model;
    else if (word == nameOf(service_kind::Plain))
        kind = service_kind::Plain;
    else
        reader.report("kind", "'model' or 'plain' is required, not '" + word + "'");
}

static void parseFirstToken(const std::string& file, mapping_reader& service, std::vector<config_problem>& problems, duration_range& target)
{
    const mapping_entry* entry = service.take("first_token");
    if (!entry)
        return;
    mapping_reader reader(file, service.pathOf("first_token"), entry->value, problems);
    reader.readDuration("at_least", target.atLeast, allowedFirstToken);
    reader.readDuration("at_most", target.atMost, allowedFirstToken);
    reader.reportUnknownKeys();
    if (target.atLeast >= target.atMost)
        service.report("first_token", "at_least must be shorter than at_most");
}

static repeat_rule parseRepeatRule(mapping_reader& reader)
{
    static constexpr std::array methods { "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE" };
    repeat_rule rule;
    reader.readText("method", rule.method);
    reader.readText("path", rule.pathPrefix);
    if (!reader.take("repeatable"))
        reader.report("repeatable", "true or false is required");
    reader.readFlag("repeatable", rule.isRepeatable);
    reader.reportUnknownKeys();
    if (std::find(methods.begin(), methods.end(), rule.method) == methods.end())
        reader.report("method", "GET, HEAD, POST, PUT, PATCH or DELETE is required, not '" + rule.method + "'");
    if (!rule.pathPrefix.starts_with('/'))
        reader.report("path", "a path that starts with '/' is required, not '" + rule.pathPrefix + "'");
    return rule;
}

static bool namesSameCalls(const repeat_rule& first, const repeat_rule& second)
{
    return first.method == second.method && first.pathPrefix == second.pathPrefix;
}

static void parseRepeatRules(const std::string& file, mapping_reader& service, std::vector<config_problem>& problems, std::vector<repeat_rule>& target)
{
    const mapping_entry* entry = service.take("repeatable");
    if (!entry)
        return;
    if (!entry->value.IsSequence()) {
        service.report("repeatable", "a list is expected");
        return;
    }
    for (const YAML::Node& item : entry->value) {
        mapping_reader reader(file, service.pathOf("repeatable"), item, problems);
        repeat_rule rule = parseRepeatRule(reader);
        const bool isTwice = std::any_of(target.begin(), target.end(), [&](const repeat_rule& other) { return namesSameCalls(rule, other); });
        if (isTwice)
            reader.report("path", "'" + rule.method + " " + rule.pathPrefix + "' stands twice");
        target.push_back(std::move(rule));
    }
}

static void checkKind(mapping_reader& reader, const service_settings& service)
{
    if (service.kind == service_kind::Model) {
        if (service.models.empty())
            reader.report("models", "a model service names its models");
        if (!service.repeatRules.empty())
            reader.report("repeatable", "only plain services have it");
        return;
    }
    for (const char* key : { "models", "first_token" }) {
        if (reader.take(key))
            reader.report(key, "only model services have it");
    }
}

service_settings parseService(service_id id, const std::string& file, mapping_reader& reader, std::vector<config_problem>& problems)
{
    service_settings service { .id = std::move(id) };
    parseKind(reader, service.kind);
    std::vector<std::string> models;
    reader.readTexts("models", models);
    service.models = idsOf<model_id>(std::move(models));
    reader.readNumber("cold_limit", service.coldLimit, 1, maximumConcurrency);
    reader.readNumber("server_limit", service.serverLimit, 1, maximumConcurrency);
    reader.readFraction("load_multiple", service.loadMultiple, minimumLoadMultiple, maximumLoadMultiple);
    reader.readDuration("request_timeout", service.requestTimeout, allowedRequestTimeout);
    reader.readSize("max_body", service.maxBodyBytes, 1, maximumBodyBytes);
    reader.readFlag("checks_fencing", service.checksFencing);
    parseFirstToken(file, reader, problems, service.firstTokenRange);
    parseRepeatRules(file, reader, problems, service.repeatRules);
    checkKind(reader, service);
    if (service.coldLimit > service.serverLimit)
        reader.report("cold_limit", "must not exceed server_limit, which is " + std::to_string(service.serverLimit));
    reader.reportUnknownKeys();
    return service;
}

workspace_settings parseWorkspace(workspace_id id, mapping_reader& reader)
{
    workspace_settings workspace { .id = std::move(id) };
    reader.readNumber("priority", workspace.priority, 0, leastUrgentPriority);
    reader.readNumber("limit", workspace.limit, 1, maximumConcurrency);
    reader.readNumber("weight", workspace.weight, 1, maximumWeight);
    std::vector<std::string> services;
    reader.readTexts("services", services);
    workspace.services = idsOf<service_id>(std::move(services));
    if (workspace.services.empty())
        reader.report("services", "a workspace names the services that it may call");
    reader.reportUnknownKeys();
    return workspace;
}

} // namespace radishflow
