// Implements the placement policy of radishflow.
#include "radishflow/Placement/bounded_rendezvous.h"

#include "radishflow/Placement/chat_server_hash.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace radishflow {

namespace {

    /// A server with its sort key; lower keys are tried earlier.
    struct ranked_server {
        int group = 0;
        double distance = 0;
        std::uint64_t idHash = 0;
        std::uint32_t index = 0;

        bool isBefore(const ranked_server& other) const
        {
            return std::tie(group, distance, idHash) < std::tie(other.group, other.distance, other.idHash);
        }
    };

    using ranked_servers = boost::container::small_vector<ranked_server, 16>;

    enum ramp_group : int {
        Admitted,
        NotAdmitted,
    };

    enum class region_scope {
        Local, ///< In the request's region.
        Remote,
    };

} // namespace

static bool isInScope(const placement_request& request, const placement_server& server, region_scope scope)
{
    return (server.region == request.region) == (scope == region_scope::Local);
}

static void insertSorted(ranked_servers& best, const ranked_server& server, std::size_t maxCount)
{
    const auto position = std::upper_bound(best.begin(), best.end(), server,
        [](const ranked_server& a, const ranked_server& b) { return a.isBefore(b); });
    best.insert(position, server);
    if (best.size() > maxCount)
        best.pop_back();
}

// Returns the first maxCount servers of one scope in ranking order. A distance -ln(u) / weight is exponentially
// distributed with rate `weight`, so each server ranks first for a share of the chats proportional to its weight, and
// removing a server moves only its own chats. Since -ln(u) >= 1 - u, most servers are rejected without computing a
// logarithm.
static ranked_servers closestServers(const placement_request& request, std::uint64_t key,
    std::span<const placement_server> servers, region_scope scope, std::size_t maxCount)
{
    ranked_servers best;
    for (std::uint32_t i = 0; i < servers.size(); ++i) {
        const placement_server& server = servers[i];
        if (!server.acceptsRequests || server.weight <= 0)
            continue;
        const double uniform = unitInterval(chatServerHash(key, server.idHash));
        const bool isFull = best.size() == maxCount;
        if (isFull && best.back().group == Admitted && 1 - uniform > best.back().distance * server.weight)
            continue;
        if (!isInScope(request, server, scope))
            continue;
        const ranked_server candidate { .group = rampAdmitsChat(request.chatHash, server.idHash, server.ramp) ? Admitted : NotAdmitted,
            .distance = -std::log(uniform) / server.weight,
            .idHash = server.idHash,
            .index = i };
        if (!isFull || candidate.isBefore(best.back()))
            insertSorted(best, candidate, maxCount);
    }
    return best;
}

static bool isLessLoaded(const placement_server& a, const placement_server& b)
{
    return std::tie(a.recentlyRefused, a.knownLoad) < std::tie(b.recentlyRefused, b.knownLoad);
}

// The affinity ranks may hold the chat's prefix and keep their order regardless of load. Beyond them, the less loaded
// of each two servers comes first (power of two choices). Sorting all of them by load would send every refused
// request of every daemon to the same least loaded server, since the known loads are seconds old.
static void orderTail(std::span<ranked_server> tail, std::span<const placement_server> servers)
{
    for (std::size_t i = 0; i + 1 < tail.size(); i += 2) {
        if (isLessLoaded(servers[tail[i + 1].index], servers[tail[i].index]))
            std::swap(tail[i], tail[i + 1]);
    }
    // The less loaded servers of all pairs precede the others; the groups keep their order.
    ranked_servers ordered;
    for (const std::size_t offset : { std::size_t { 0 }, std::size_t { 1 } }) {
        for (std::size_t i = offset; i < tail.size(); i += 2)
            ordered.push_back(tail[i]);
    }
    std::stable_sort(ordered.begin(), ordered.end(),
        [](const ranked_server& a, const ranked_server& b) { return a.group < b.group; });
    std::copy(ordered.begin(), ordered.end(), tail.begin());
}

static void append(server_ranking& ranking, const ranked_servers& best, std::size_t maxCount)
{
    for (std::size_t i = 0; i < std::min(maxCount, best.size()); ++i)
        ranking.push_back(best[i].index);
}

// The tail differs from request to request: with a tail per chat, many simultaneous requests of one chat would all
// go to the same few servers. The tail needs no affinity, since its servers are not asked for the chat's prefix.
static ranked_servers tailServers(const placement_request& request, std::span<const placement_server> servers,
    region_scope scope, const server_ranking& affinity, std::size_t maxCount)
{
    const std::uint64_t key = request.tailSeed == 0 ? request.chatHash : request.chatHash ^ mixBits(request.tailSeed);
    // Twice as many candidates as needed, so that each position in the tail is a choice between two.
    ranked_servers best = closestServers(request, key, servers, scope, affinity.size() + 2 * maxCount);
    const auto isAffinityRank = [&](const ranked_server& server) {
        return std::find(affinity.begin(), affinity.end(), server.index) != affinity.end();
    };
    best.erase(std::remove_if(best.begin(), best.end(), isAffinityRank), best.end());
    orderTail({ best.data(), best.size() }, servers);
    return best;
}

// Appends the servers of one scope: first the affinity ranks, then the tail.
static void appendScope(server_ranking& ranking, const placement_request& request,
    std::span<const placement_server> servers, region_scope scope, std::size_t affinityCount, std::size_t maxCount)
{
    const std::size_t kept = std::min(affinityCount, maxCount);
    if (kept > 0)
        append(ranking, closestServers(request, request.chatHash, servers, scope, kept), kept);
    if (maxCount > kept)
        append(ranking, tailServers(request, servers, scope, ranking, maxCount - kept), maxCount - kept);
}

// Other regions come last even when the request's region has servers: a region that lost a zone can need more
// capacity than the load bound of the service leaves to its servers, and a slow response is better than none.
server_ranking bounded_rendezvous::rank(
    const placement_request& request, std::span<const placement_server> servers, std::size_t maxCount) const
{
    server_ranking remote;
    if (maxCount > m_options.affinityRanks + m_options.remoteRanks)
        appendScope(remote, request, servers, region_scope::Remote, 0, m_options.remoteRanks);
    server_ranking ranking;
    appendScope(ranking, request, servers, region_scope::Local, m_options.affinityRanks, maxCount - remote.size());
    if (ranking.empty())
        appendScope(ranking, request, servers, region_scope::Remote, m_options.affinityRanks, maxCount);
    else
        ranking.insert(ranking.end(), remote.begin(), remote.end());
    return ranking;
}

} // namespace radishflow
