// Implements the reading of all service files together.
#include "radishflow/Config/parse_service_files.h"

#include "parse_settings.h"

#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <tuple>

namespace radishflow {

static constexpr std::size_t maximumNameLength = 64;

namespace {

    /// Where a name was declared, for the problems of other files.
    struct declaration {
        std::string file;
        int line = 0;
    };

    /// Reads files one by one, then checks the names across all of them.
    class config_collector {
    public:
        void readFile(const named_text&);
        parsed_config finish();

    private:
        void readServices(const std::string& file, mapping_reader& document);
        void readWorkspaces(const std::string& file, mapping_reader& document);
        void checkWorkspaceServices();
        void claimModels(const service_settings&, mapping_reader&);

        template <typename Id>
        bool declare(const Id&, const std::string& file, const mapping_entry&, mapping_reader&, std::unordered_map<Id, declaration>&);

        fleet_config m_config;
        std::unordered_map<service_id, declaration> m_serviceDeclarations;
        std::unordered_map<workspace_id, declaration> m_workspaceDeclarations;
        std::vector<config_problem> m_problems;
    };

} // namespace

// Names become parts of table keys, metric labels and paths, so they keep to characters that need no escape.
static bool isName(const std::string& text)
{
    const auto isAllowed = [](char letter) {
        return (letter >= 'a' && letter <= 'z') || (letter >= '0' && letter <= '9') || letter == '-' || letter == '_' || letter == '.';
    };
    return !text.empty() && text.size() <= maximumNameLength && std::all_of(text.begin(), text.end(), isAllowed);
}

template <typename Id>
bool config_collector::declare(const Id& id, const std::string& file, const mapping_entry& entry, mapping_reader& reader, std::unordered_map<Id, declaration>& declarations)
{
    if (!isName(id.value())) {
        reader.report(entry.key, "a name has 1 to 64 of a-z, 0-9, '-', '_' and '.'");
        return false;
    }
    const auto [found, isNew] = declarations.try_emplace(id, declaration { .file = file, .line = entry.line });
    // A key twice in one mapping has been reported by its reader.
    if (!isNew && found->second.file != file)
        reader.report(entry.key, "is declared at " + found->second.file + ":" + std::to_string(found->second.line) + " already");
    return isNew;
}

void config_collector::readFile(const named_text& file)
{
    try {
        const YAML::Node root = YAML::Load(file.text);
        mapping_reader document(file.name, "", root, m_problems);
        readServices(file.name, document);
        readWorkspaces(file.name, document);
        document.reportUnknownKeys();
    } catch (const YAML::Exception& error) {
        m_problems.push_back({ .file = file.name, .line = error.mark.line + 1, .key = {}, .reason = error.msg });
    }
}

void config_collector::readServices(const std::string& file, mapping_reader& document)
{
    const mapping_entry* section = document.take("services");
    if (!section)
        return;
    mapping_reader services(file, "services", section->value, m_problems);
    for (const mapping_entry& entry : services.entries()) {
        service_id id { entry.key };
        const bool isNew = declare(id, file, entry, services, m_serviceDeclarations);
        mapping_reader reader(file, services.pathOf(entry.key), entry.value, m_problems);
        service_settings service = parseService(id, file, reader, m_problems);
        if (!isNew)
            continue;
        claimModels(service, reader);
        m_config.services.emplace(std::move(id), std::move(service));
    }
}

void config_collector::claimModels(const service_settings& service, mapping_reader& reader)
{
    for (const model_id& model : service.models) {
        const auto [found, isNew] = m_config.serviceOfModel.try_emplace(model, service.id);
        if (!isNew && found->second != service.id)
            reader.report("models", "'" + model.value() + "' belongs to service '" + found->second.value() + "' already");
    }
}

void config_collector::readWorkspaces(const std::string& file, mapping_reader& document)
{
    const mapping_entry* section = document.take("workspaces");
    if (!section)
        return;
    mapping_reader workspaces(file, "workspaces", section->value, m_problems);
    for (const mapping_entry& entry : workspaces.entries()) {
        workspace_id id { entry.key };
        const bool isNew = declare(id, file, entry, workspaces, m_workspaceDeclarations);
        mapping_reader reader(file, workspaces.pathOf(entry.key), entry.value, m_problems);
        workspace_settings workspace = parseWorkspace(id, reader);
        if (isNew)
            m_config.workspaces.emplace(std::move(id), std::move(workspace));
    }
}

void config_collector::checkWorkspaceServices()
{
    for (const auto& [id, workspace] : m_config.workspaces) {
        for (const service_id& service : workspace.services) {
            if (m_serviceDeclarations.contains(service))
                continue;
            const declaration& place = m_workspaceDeclarations.at(id);
            m_problems.push_back({ .file = place.file, .line = place.line, .key = "workspaces." + id.value() + ".services", .reason = "service '" + service.value() + "' is not declared" });
        }
    }
}

parsed_config config_collector::finish()
{
    checkWorkspaceServices();
    if (m_problems.empty())
        return std::move(m_config);
    const auto place = [](const config_problem& problem) { return std::tie(problem.file, problem.line, problem.key, problem.reason); };
    std::sort(m_problems.begin(), m_problems.end(), [&](const config_problem& a, const config_problem& b) { return place(a) < place(b); });
    return std::move(m_problems);
}

parsed_config parseServiceFiles(const std::vector<named_text>& files)
{
    config_collector collector;
    for (const named_text& file : files)
        collector.readFile(file);
    return collector.finish();
}

} // namespace radishflow
