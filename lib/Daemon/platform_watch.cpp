// Implements the polling of the platform.
#include "radishflow/Daemon/platform_watch.h"

#include "radishflow/Support/hashing.h"

#include <spdlog/spdlog.h>

#include <utility>

namespace radishflow {

platform_watch::platform_watch(const daemon_options& options, platform_client& platform, fleet_directory& directory, config_store& configuration)
    : m_options(options)
    , m_platform(platform)
    , m_directory(directory)
    , m_follower(platform, platform, configuration)
{
}

void platform_watch::poll()
{
    pollHosts();
    pollConfiguration();
}

// Every daemon computes the same owner from the same list; an owner in the server's own zone goes first,
// so that the loss of a zone takes both and leaves the others' servers owned.
static const known_daemon* chooseOwner(const std::vector<known_daemon>& daemons, const known_server& server)
{
    const known_daemon* best = nullptr;
    double bestScore = 0;
    for (const known_daemon& daemon : daemons) {
        const double score = unitInterval(stableHash(server.id.value(), daemon.id.value())) + (daemon.zone == server.zone ? 1.0 : 0.0);
        if (!best || score > bestScore) {
            best = &daemon;
            bestScore = score;
        }
    }
    return best;
}

void platform_watch::pollHosts()
{
    const bool isRead = valueOr(
        [&]() -> result<bool> {
            BOOST_LEAF_ASSIGN(m_hosts, m_platform.listHosts());
            return true;
        },
        [](const failure& error) {
            spdlog::warn("step=\"{}\" peer={} error=\"{}\"", error.step, error.peer, describe(error));
            return false;
        });
    if (!isRead)
        return;
    fleet_snapshot fleet;
    for (const listed_host& host : m_hosts) {
        if (host.role == "daemon")
            fleet.daemons.push_back({ .id = daemon_id { host.name }, .zone = host.zone, .region = host.region, .peer = host.target, .http = host.http, .isLeaving = host.leaving });
    }
    for (const listed_host& host : m_hosts) {
        if (host.role != "backend")
            continue;
        known_server server { .id = server_id { host.target }, .service = host.service, .zone = host.zone, .region = host.region, .isLeaving = host.leaving };
        if (const known_daemon* owner = chooseOwner(fleet.daemons, server)) {
            server.owner = owner->id;
            server.ownerPeer = owner->peer;
        }
        fleet.servers[server.service].push_back(std::move(server));
    }
    m_directory.replace(std::move(fleet));
}

void platform_watch::pollConfiguration()
{
    valueOr(
        [&]() -> result<bool> {
            BOOST_LEAF_AUTO(isNew, m_follower.poll());
            if (isNew)
                spdlog::info("step=\"take configuration\" daemon={}", m_options.name.value());
            return isNew;
        },
        [](const failure& error) {
            spdlog::warn("step=\"{}\" peer={} error=\"{}\"", error.step, error.peer, describe(error));
            return false;
        });
}

} // namespace radishflow
