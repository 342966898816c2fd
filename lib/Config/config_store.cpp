// Implements the configuration that a daemon has in force.
#include "radishflow/Config/config_store.h"

#include "radishflow/Config/parse_service_files.h"

#include <mutex>
#include <utility>

namespace radishflow {

static failure broken(const std::string& key, const std::string& detail)
{
    return { .code = failure_code::Broken, .step = "accept configuration", .peer = key, .detail = detail };
}

// Returns the new object, or the one that is held already.
static result<std::string> findObject(const std::string& key, std::map<std::string, std::string>& objects, const config_snapshot& held)
{
    if (const auto found = objects.find(key); found != objects.end()) {
        if (configObjectKey(found->second) != key)
            return fail(broken(key, "the text has another hash"));
        return std::move(found->second);
    }
    if (const auto found = held.objects.find(key); found != held.objects.end())
        return found->second;
    return fail(broken(key, "the object is missing"));
}

static void takePart(const std::string& name, fleet_config part, fleet_config& config)
{
    if (name == servicesPartName) {
        config.services = std::move(part.services);
        config.serviceOfModel = std::move(part.serviceOfModel);
        return;
    }
    std::erase_if(config.workspaces, [&](const auto& entry) { return partNameOf(entry.first) == name; });
    config.workspaces.merge(part.workspaces);
}

static bool hasPart(const config_manifest& manifest, const std::string& name, const std::string& key)
{
    const auto found = manifest.objectKeys.find(name);
    return found != manifest.objectKeys.end() && found->second == key;
}

// Each part is read alone beside the services: the reader's memory is many times the text's.
static result<fleet_config> parsePart(const std::string& name, const config_snapshot& next)
{
    std::vector<named_text> files { { .name = servicesPartName, .text = next.objects.at(next.manifest.objectKeys.at(servicesPartName)) } };
    if (name != servicesPartName)
        files.push_back({ .name = name, .text = next.objects.at(next.manifest.objectKeys.at(name)) });
    parsed_config parsed = parseServiceFiles(files);
    if (const auto* problems = std::get_if<std::vector<config_problem>>(&parsed))
        return fail(broken(next.pointer.objectKey, describe(problems->front())));
    return std::get<fleet_config>(std::move(parsed));
}

static result<config_snapshot> buildSnapshot(const config_pointer& pointer, std::map<std::string, std::string>& objects, const config_snapshot& held)
{
    config_snapshot next { .pointer = pointer, .config = held.config };
    BOOST_LEAF_AUTO(manifestText, findObject(pointer.objectKey, objects, held));
    BOOST_LEAF_ASSIGN(next.manifest, decodeConfigManifest(manifestText));
    next.objects.emplace(pointer.objectKey, std::move(manifestText));
    for (const auto& [name, key] : next.manifest.objectKeys) {
        BOOST_LEAF_AUTO(text, findObject(key, objects, held));
        next.objects.emplace(key, std::move(text));
    }
    for (const auto& [name, key] : held.manifest.objectKeys) {
        if (!next.manifest.objectKeys.contains(name))
            takePart(name, {}, next.config);
    }
    for (const auto& [name, key] : next.manifest.objectKeys) {
        if (hasPart(held.manifest, name, key))
            continue;
        BOOST_LEAF_AUTO(part, parsePart(name, next));
        takePart(name, std::move(part), next.config);
    }
    return next;
}

std::shared_ptr<const config_snapshot> config_store::current() const
{
    const std::lock_guard lock(m_mutex);
    return m_current;
}

config_version config_store::version() const
{
    const std::shared_ptr<const config_snapshot> snapshot = current();
    return snapshot ? snapshot->pointer.version : config_version {};
}

std::vector<std::string> config_store::missingObjects(const config_manifest& manifest) const
{
    const std::shared_ptr<const config_snapshot> snapshot = current();
    std::vector<std::string> keys;
    for (const auto& [name, key] : manifest.objectKeys) {
        if (!snapshot || !snapshot->objects.contains(key))
            keys.push_back(key);
    }
    return keys;
}

result<bool> config_store::accept(const config_pointer& pointer, std::map<std::string, std::string> objects)
{
    const std::shared_ptr<const config_snapshot> held = current();
    if (held && pointer.version <= held->pointer.version)
        return false;
    BOOST_LEAF_AUTO(built, buildSnapshot(pointer, objects, held ? *held : config_snapshot {}));
    auto snapshot = std::make_shared<const config_snapshot>(std::move(built));
    // Another thread may have taken a higher version while this one was parsing.
    const std::lock_guard lock(m_mutex);
    if (m_current && m_current->pointer.version >= pointer.version)
        return false;
    m_current = std::move(snapshot);
    return true;
}

} // namespace radishflow
