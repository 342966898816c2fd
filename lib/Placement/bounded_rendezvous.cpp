// Implements the placement policy of radishflow.
#include "radishflow/Placement/bounded_rendezvous.h"

#include "radishflow/Placement/chat_server_hash.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace radishflow {

namespace {

    /// A server with its place: lower is tried earlier.
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

    enum rank_group : int {
        Taking,
        Ramping,
    };

    enum class server_side {
        Near, ///< In the request's region.
        Far,
    };

} // namespace

static bool isOnSide(const placement_request& request, const placement_server& server, server_side side)
{
    return (server.region == request.region) == (side == server_side::Near);
}

static void insertSorted(ranked_servers& best, const ranked_server& server, std::size_t most)
{
    const auto place = std::upper_bound(best.begin(), best.end(), server,
        [](const ranked_server& a, const ranked_server& b) { return a.isBefore(b); });
    best.insert(place, server);
    if (best.size() > most)
        best.pop_back();
}

// -ln(u) / weight is exponentially distributed with rate `weight`, so the least one belongs to each server in
// proportion to its weight, and leaving one out moves only its own chats. As -ln(u) >= 1 - u, most servers are
// passed over without a logarithm.
static ranked_servers nearestServers(const placement_request& request, std::uint64_t key,
    std::span<const placement_server> servers, server_side side, std::size_t most)
{
    ranked_servers best;
    for (std::uint32_t i = 0; i < servers.size(); ++i) {
        const placement_server& server = servers[i];
        if (!server.acceptsRequests || server.weight <= 0)
            continue;
        const double uniform = unitInterval(chatServerHash(key, server.idHash));
        const bool isFull = best.size() == most;
        if (isFull && best.back().group == Taking && 1 - uniform > best.back().distance * server.weight)
            continue;
        if (!isOnSide(request, server, side))
            continue;
        const ranked_server candidate { .group = rampTakesChat(request.chatHash, server.idHash, server.ramp) ? Taking : Ramping,
            .distance = -std::log(uniform) / server.weight,
            .idHash = server.idHash,
            .index = i };
        if (!isFull || candidate.isBefore(best.back()))
            insertSorted(best, candidate, most);
    }
    return best;
}

static bool hasMoreRoom(const placement_server& a, const placement_server& b)
{
    return std::tie(a.refusedLately, a.knownLoad) < std::tie(b.refusedLately, b.knownLoad);
}

// The first ranks are where the chat's prefix can be, so they keep their order whatever a delayed view says.
// Beyond them the walk looks for room: of each two servers the less loaded comes first. Two, not all: with
// views seconds old the least loaded of all would get every refused request of every decider.
static void orderTail(std::span<ranked_server> tail, std::span<const placement_server> servers)
{
    for (std::size_t i = 0; i + 1 < tail.size(); i += 2) {
        if (hasMoreRoom(servers[tail[i + 1].index], servers[tail[i].index]))
            std::swap(tail[i], tail[i + 1]);
    }
    // The better ones of the pairs come before the others, and no group before an earlier one.
    ranked_servers ordered;
    for (const std::size_t offset : { std::size_t { 0 }, std::size_t { 1 } }) {
        for (std::size_t i = offset; i < tail.size(); i += 2)
            ordered.push_back(tail[i]);
    }
    std::stable_sort(ordered.begin(), ordered.end(),
        [](const ranked_server& a, const ranked_server& b) { return a.group < b.group; });
    std::copy(ordered.begin(), ordered.end(), tail.begin());
}

static void append(server_ranking& ranking, const ranked_servers& best, std::size_t most)
{
    for (std::size_t i = 0; i < std::min(most, best.size()); ++i)
        ranking.push_back(best[i].index);
}

// The ranks beyond the homes differ from request to request: a chat that is asked for many times at once would
// fill a tail of its own, and nobody looks for its prefix there.
static ranked_servers tailServers(const placement_request& request, std::span<const placement_server> servers,
    server_side side, const server_ranking& homes, std::size_t most)
{
    const std::uint64_t key = request.tailSeed == 0 ? request.chatHash : request.chatHash ^ mixBits(request.tailSeed);
    // Twice as many, so that each place in the tail is a choice of two.
    ranked_servers best = nearestServers(request, key, servers, side, homes.size() + 2 * most);
    const auto isHome = [&](const ranked_server& server) {
        return std::find(homes.begin(), homes.end(), server.index) != homes.end();
    };
    best.erase(std::remove_if(best.begin(), best.end(), isHome), best.end());
    orderTail({ best.data(), best.size() }, servers);
    return best;
}

// Ranks the servers of one side: those that may hold the prefix, and then a tail.
static void appendSide(server_ranking& ranking, const placement_request& request,
    std::span<const placement_server> servers, server_side side, std::size_t homes, std::size_t most)
{
    const std::size_t kept = std::min(homes, most);
    if (kept > 0)
        append(ranking, nearestServers(request, request.chatHash, servers, side, kept), kept);
    if (most > kept)
        append(ranking, tailServers(request, servers, side, ranking, most - kept), most - kept);
}

// Other regions come last even when the own one has servers: a region that lost a zone can need more than the
// bound of the whole service lets its servers take, and a slow answer is better than none.
server_ranking bounded_rendezvous::rank(
    const placement_request& request, std::span<const placement_server> servers, std::size_t most) const
{
    server_ranking far;
    if (most > m_options.affinityRanks + m_options.remoteRanks)
        appendSide(far, request, servers, server_side::Far, 0, m_options.remoteRanks);
    server_ranking ranking;
    appendSide(ranking, request, servers, server_side::Near, m_options.affinityRanks, most - far.size());
    if (ranking.empty())
        appendSide(ranking, request, servers, server_side::Far, m_options.affinityRanks, most);
    else
        ranking.insert(ranking.end(), far.begin(), far.end());
    return ranking;
}

} // namespace radishflow
