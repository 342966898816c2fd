// Implements look-ups in the settings.
#include "radishflow/Config/fleet_config.h"

#include <algorithm>

namespace radishflow {

template <typename Map, typename Key>
static const typename Map::mapped_type* findIn(const Map& map, const Key& key)
{
    const auto found = map.find(key);
    return found == map.end() ? nullptr : &found->second;
}

bool mayCall(const workspace_settings& workspace, const service_id& service)
{
    return std::binary_search(workspace.services.begin(), workspace.services.end(), service);
}

const service_settings* findService(const fleet_config& config, const service_id& id)
{
    return findIn(config.services, id);
}

const workspace_settings* findWorkspace(const fleet_config& config, const workspace_id& id)
{
    return findIn(config.workspaces, id);
}

const service_settings* findServiceOfModel(const fleet_config& config, const model_id& id)
{
    const service_id* service = findIn(config.serviceOfModel, id);
    return service ? findService(config, *service) : nullptr;
}

std::string describe(const fleet_config& config)
{
    return std::to_string(config.services.size()) + " services, " + std::to_string(config.workspaces.size())
        + " workspaces, " + std::to_string(config.serviceOfModel.size()) + " models";
}

} // namespace radishflow
