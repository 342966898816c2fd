// Implements the check of a configuration.
#include "radishflow/Routing/config_check.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace radishflow {

namespace {

    // Collects findings about one entry after the other.
    class finding_list {
    public:
        void setEntry(std::string entry) { m_entry = std::move(entry); }
        void add(finding_kind kind, std::string text) { m_findings.push_back({ .kind = kind, .entry = m_entry, .text = std::move(text) }); }
        void addIf(bool applies, finding_kind kind, const char* text)
        {
            if (applies)
                add(kind, text);
        }
        std::vector<config_finding> take() { return std::move(m_findings); }

    private:
        std::string m_entry;
        std::vector<config_finding> m_findings;
    };

} // namespace

static std::string labelOf(const route& route)
{
    return "route " + (route.name.empty() ? route.host + route.prefix : route.name);
}

static void checkTargets(const route& route, const std::set<service_id>& services, finding_list& findings)
{
    int total = 0;
    for (const weighted_service& target : route.targets) {
        total += std::max(target.weight, 0);
        if (!services.contains(target.service))
            findings.add(finding_kind::Error, "service " + target.service.value() + " is not in the list of services");
        if (target.weight <= 0 && route.targets.size() > 1)
            findings.add(finding_kind::Unreachable, "service " + target.service.value() + " has no weight and gets no request");
    }
    findings.addIf(route.targets.size() > 1 && total == 0, finding_kind::Error, "no service has a weight, so the first one gets all requests");
}

static void checkLimits(const route& route, finding_list& findings)
{
    const bool hasTimeout = route.timeout.count() > 0;
    findings.addIf(route.timeout.count() < 0, finding_kind::Error, "the timeout is negative");
    findings.addIf(hasTimeout && route.objective > route.timeout, finding_kind::Contradiction, "the objective is longer than the timeout, so a response that is late for the route is never sent");
    findings.addIf(route.attempts > 1 && !isRepeatable(route), finding_kind::Contradiction, "several attempts are allowed, but a request that may have run is not repeated");
    findings.addIf(route.isResumable && route.kind != work_kind::Stream, finding_kind::Contradiction, "only streams are resumed");
    findings.addIf(route.isResumable && route.attempts < 2, finding_kind::Contradiction, "a broken stream is resumed at another server, but one attempt is allowed");
}

static void checkRoutes(const routing_config& config, finding_list& findings)
{
    std::set<service_id> services;
    for (const service_policy& policy : config.services)
        services.insert(policy.id);
    std::map<std::pair<std::string, std::string>, const route*> first;
    for (const route& route : config.routes) {
        findings.setEntry(labelOf(route));
        findings.addIf(route.host.empty(), finding_kind::Error, "the host is empty");
        findings.addIf(!route.prefix.starts_with('/') || !route.prefix.ends_with('/'), finding_kind::Error, "the prefix does not begin and end with a slash");
        const auto [earlier, isFirst] = first.emplace(std::pair { route.host, route.prefix }, &route);
        if (!isFirst)
            findings.add(finding_kind::Unreachable, labelOf(*earlier->second) + " has the same host and prefix and comes first");
        checkTargets(route, services, findings);
        checkLimits(route, findings);
        findings.addIf(!route.isPublic && !config.workspaces.empty() && std::all_of(config.workspaces.begin(), config.workspaces.end(), [](const keyed_workspace& workspace) { return workspace.keys.empty(); }),
            finding_kind::Unreachable, "the route needs a key, and no workspace has one");
    }
}

static void checkServices(const routing_config& config, finding_list& findings)
{
    std::set<service_id> used;
    for (const route& route : config.routes) {
        for (const weighted_service& target : route.targets)
            used.insert(target.service);
    }
    std::set<service_id> seen;
    for (const service_policy& policy : config.services) {
        findings.setEntry("service " + policy.id.value());
        findings.addIf(!seen.insert(policy.id).second, finding_kind::Error, "the service is listed twice, and the first entry applies");
        findings.addIf(!used.contains(policy.id), finding_kind::Unreachable, "no route leads to the service");
        findings.addIf(policy.connectionLimit < 0 || policy.coldRequestsPerSecond < 0, finding_kind::Error, "a limit is negative");
    }
}

static void checkWorkspaces(const routing_config& config, finding_list& findings)
{
    std::set<workspace_id> seen;
    std::map<std::string, workspace_id> holders;
    for (const keyed_workspace& workspace : config.workspaces) {
        findings.setEntry("workspace " + workspace.id.value());
        findings.addIf(!seen.insert(workspace.id).second, finding_kind::Error, "the workspace is listed twice");
        findings.addIf(workspace.keys.empty(), finding_kind::Unreachable, "the workspace has no key, so no request belongs to it");
        for (const std::string& key : workspace.keys) {
            const auto [holder, isFirst] = holders.emplace(key, workspace.id);
            findings.addIf(key.empty(), finding_kind::Error, "a key is empty");
            if (!isFirst)
                findings.add(finding_kind::Error, "a key also belongs to workspace " + holder->second.value() + ", which gets its requests");
        }
    }
}

std::vector<config_finding> checkConfig(const routing_config& config)
{
    finding_list findings;
    findings.setEntry("configuration");
    findings.addIf(config.routes.empty(), finding_kind::Error, "there is no route, so all requests are refused");
    checkRoutes(config, findings);
    checkServices(config, findings);
    checkWorkspaces(config, findings);
    findings.setEntry("limits");
    findings.addIf(config.limits.headTimeout.count() <= 0 || config.limits.idleTimeout.count() <= 0 || config.limits.headBytes == 0, finding_kind::Error, "a limit is 0, so no caller can send a request");
    findings.addIf(config.limits.headTimeout > config.limits.idleTimeout, finding_kind::Contradiction, "a connection counts as idle before the time for a request head is over");
    return findings.take();
}

static std::string textOf(const std::vector<weighted_service>& targets)
{
    std::string text;
    for (const weighted_service& target : targets) {
        if (!text.empty())
            text += ',';
        text += target.service.value();
        if (targets.size() > 1)
            text.append(":").append(std::to_string(target.weight));
    }
    return text;
}

static const char* nameOf(work_kind kind)
{
    switch (kind) {
    case work_kind::Idempotent:
        return "idempotent";
    case work_kind::NonIdempotent:
        return "not idempotent";
    case work_kind::Stream:
        break;
    }
    return "stream";
}

// Fields by name, as text, so that those that differ can be listed.
using field_list = std::vector<std::pair<const char*, std::string>>;

static field_list fieldsOf(const route& route)
{
    const auto yesOrNo = [](bool value) { return std::string { value ? "yes" : "no" }; };
    return {
        { "host", route.host },
        { "prefix", route.prefix },
        { "kind", nameOf(route.kind) },
        { "timeout_ms", std::to_string(route.timeout.count()) },
        { "objective_ms", std::to_string(route.objective.count()) },
        { "priority", std::to_string(route.priority) },
        { "attempts", std::to_string(route.attempts) },
        { "public", yesOrNo(route.isPublic) },
        { "resumable", yesOrNo(route.isResumable) },
        { "services", textOf(route.targets) },
    };
}

static field_list fieldsOf(const service_policy& policy)
{
    return {
        { "connection_limit", std::to_string(policy.connectionLimit) },
        { "cold_requests_per_second", std::to_string(policy.coldRequestsPerSecond) },
    };
}

static field_list fieldsOf(const caller_limits& limits)
{
    return {
        { "head_bytes", std::to_string(limits.headBytes) },
        { "body_bytes", std::to_string(limits.bodyBytes) },
        { "head_timeout_ms", std::to_string(limits.headTimeout.count()) },
        { "idle_timeout_ms", std::to_string(limits.idleTimeout.count()) },
    };
}

static void describeFields(const std::string& entry, const field_list& before, const field_list& after, std::vector<std::string>& lines)
{
    std::string text;
    for (std::size_t index = 0; index < before.size(); ++index) {
        if (before[index].second == after[index].second)
            continue;
        if (!text.empty())
            text += ", ";
        text.append(before[index].first).append(" ").append(before[index].second).append(" -> ").append(after[index].second);
    }
    if (!text.empty())
        lines.push_back("changed " + entry + ": " + text);
}

// Compares two lists of entries with labels; describe(label, before, after, lines) handles those in both.
template <typename Entry, typename Describe>
static void describeEntries(const std::map<std::string, const Entry*>& before, const std::map<std::string, const Entry*>& after, const Describe& describe, std::vector<std::string>& lines)
{
    for (const auto& [label, entry] : before) {
        if (!after.contains(label))
            lines.push_back("removed " + label);
    }
    for (const auto& [label, entry] : after) {
        const auto earlier = before.find(label);
        if (earlier == before.end())
            lines.push_back("added " + label);
        else
            describe(label, *earlier->second, *entry, lines);
    }
}

template <typename Entry, typename Label>
static std::map<std::string, const Entry*> byLabel(const std::vector<Entry>& entries, const Label& label)
{
    std::map<std::string, const Entry*> map;
    for (const Entry& entry : entries)
        map.emplace(label(entry), &entry);
    return map;
}

static void describeKeys(const std::string& label, const keyed_workspace& before, const keyed_workspace& after, std::vector<std::string>& lines)
{
    const std::set<std::string> earlier { before.keys.begin(), before.keys.end() };
    const std::set<std::string> later { after.keys.begin(), after.keys.end() };
    const auto added = std::count_if(later.begin(), later.end(), [&](const std::string& key) { return !earlier.contains(key); });
    const auto removed = std::count_if(earlier.begin(), earlier.end(), [&](const std::string& key) { return !later.contains(key); });
    if (added > 0 || removed > 0)
        lines.push_back("changed " + label + ": " + std::to_string(added) + " keys added, " + std::to_string(removed) + " taken away");
    if (before.priority != after.priority)
        lines.push_back("changed " + label + ": priority");
}

std::vector<std::string> describeChanges(const routing_config& inForce, const routing_config& candidate)
{
    std::vector<std::string> lines;
    if (candidate.version <= inForce.version)
        lines.push_back("version " + std::to_string(candidate.version.value()) + " is not above " + std::to_string(inForce.version.value()) + ", so daemons ignore it");
    const auto describe = [](const std::string& label, const auto& before, const auto& after, std::vector<std::string>& out) { describeFields(label, fieldsOf(before), fieldsOf(after), out); };
    describeEntries(byLabel(inForce.routes, labelOf), byLabel(candidate.routes, labelOf), describe, lines);
    const auto serviceLabel = [](const service_policy& policy) { return "service " + policy.id.value(); };
    describeEntries(byLabel(inForce.services, serviceLabel), byLabel(candidate.services, serviceLabel), describe, lines);
    const auto workspaceLabel = [](const keyed_workspace& workspace) { return "workspace " + workspace.id.value(); };
    describeEntries(byLabel(inForce.workspaces, workspaceLabel), byLabel(candidate.workspaces, workspaceLabel), describeKeys, lines);
    describeFields("limits", fieldsOf(inForce.limits), fieldsOf(candidate.limits), lines);
    return lines;
}

} // namespace radishflow
