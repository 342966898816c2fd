// Implements the table of the request limits of backend servers.
#include "radishflow/Routing/server_limit_table.h"

#include "radishflow/Routing/cold_senders.h"
#include "radishflow/Routing/shared_load.h"
#include "radishflow/Support/hashing.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

namespace radishflow {

// Each sender may exceed its share by a burst of one request. In the platform's window of 4 s the senders together send up to
// 4 s times the rate and one request each, of 6 s times the rate and 5 requests that it allows. Two requests remain for
// daemons whose fleet view differs.
static constexpr double sendersPerRate = 2; // Seconds.
static constexpr std::size_t minLimitSenders = 3;
// A server with a lower limit still gets requests, as only a response shows that its limit has ended.
static constexpr double minRequestsPerSecond = 0.05;
// Requests per second. That of the published limits, so that they equal those in the responses that they repeat.
static constexpr double limitResolution = 0.001;

std::size_t limitSenderCount(const fleet_view& fleet, double requestsPerSecond)
{
    const auto senders = static_cast<std::size_t>(sendersPerRate * std::clamp(requestsPerSecond, 0.0, static_cast<double>(fleet.size))) + minLimitSenders;
    return std::clamp<std::size_t>(senders, 1, std::max<std::size_t>(fleet.size, 1));
}

server_limit_table::entry* server_limit_table::find(const listed_server& server)
{
    return const_cast<entry*>(std::as_const(*this).find(server));
}

const server_limit_table::entry* server_limit_table::find(const listed_server& server) const
{
    const auto found = m_entries.find(server.id);
    return found != m_entries.end() && found->second.processStartMs == server.processStartMs ? &found->second : nullptr;
}

void server_limit_table::record(const listed_server& server, std::optional<double> requestsPerSecond, time_point now)
{
    entry* known = find(server);
    if (!known && !requestsPerSecond)
        return;
    if (!known) {
        known = &m_entries[server.id];
        *known = { .processStartMs = server.processStartMs };
    }
    applyStatement(server, *known, requestsPerSecond, now, true);
}

void server_limit_table::merge(const listed_server& server, const shared_limit& limit, time_point now)
{
    entry* known = find(server);
    const time_point statedAt = now - limit.age;
    if (known && statedAt <= known->statedAt)
        return;
    if (!known && !limit.requestsPerSecond)
        return;
    if (!known) {
        known = &m_entries[server.id];
        *known = { .processStartMs = server.processStartMs };
    }
    applyStatement(server, *known, limit.requestsPerSecond, statedAt, false);
}

void server_limit_table::applyStatement(const listed_server& server, entry& known, std::optional<double> requestsPerSecond, time_point statedAt, bool isOwn)
{
    if (requestsPerSecond)
        requestsPerSecond = std::max(std::round(*requestsPerSecond / limitResolution) * limitResolution, minRequestsPerSecond);
    if (known.requestsPerSecond != requestsPerSecond) {
        m_events.push_back({ .server = server.id, .previous = known.requestsPerSecond, .current = requestsPerSecond, .isOwnStatement = isOwn });
        known.isChanged = true;
        known.sendersSelectedAt.reset();
        // Tokens of a former limit don't count for a new one.
        if (!known.requestsPerSecond)
            known.isSender = false;
    }
    known.requestsPerSecond = requestsPerSecond;
    known.statedAt = statedAt;
    known.isOwnStatement = isOwn;
    if (requestsPerSecond)
        known.limitedAt = statedAt;
}

bool server_limit_table::isLimited(const listed_server& server) const
{
    const entry* known = find(server);
    return known && known->requestsPerSecond;
}

// Selecting the senders takes a hash for each daemon of the fleet. A daemon that doesn't know the size of the fleet can't
// know its share. The senders begin with different parts of a token, so that they don't all send at once.
void server_limit_table::selectSenders(const listed_server& server, entry& known, const fleet_view& fleet, time_point now) const
{
    if (known.sendersSelectedAt && now - *known.sendersSelectedAt < m_options.senderInterval)
        return;
    known.sendersSelectedAt = now;
    known.senders = limitSenderCount(fleet, *known.requestsPerSecond);
    const bool wasSender = std::exchange(known.isSender, fleet.isSizeKnown && isAmongSenders(fleet, server.id, known.senders));
    if (wasSender)
        return;
    known.tokens = unitInterval(stableHash(server.id.value(), fleet.self.value()));
    known.refilledAt = now;
}

void server_limit_table::refill(const listed_server& server, entry& known, const fleet_view& fleet, time_point now)
{
    const double share = shareOf(server, fleet, now);
    const std::chrono::duration<double> elapsed = now - known.refilledAt;
    known.tokens = std::min(known.tokens + elapsed.count() * share, 1.0);
    known.refilledAt = now;
}

std::optional<duration> server_limit_table::timeToSend(const listed_server& server, const fleet_view& fleet, time_point now)
{
    entry* known = find(server);
    if (!known || !known->requestsPerSecond)
        return duration::zero();
    refill(server, *known, fleet, now);
    if (!known->isSender)
        return std::nullopt;
    if (known->tokens >= 1)
        return duration::zero();
    return std::chrono::ceil<duration>(std::chrono::duration<double> { (1 - known->tokens) / shareOf(server, fleet, now) });
}

bool server_limit_table::needsProbe(const listed_server& server, time_point now) const
{
    const entry* known = find(server);
    return known && known->requestsPerSecond && now - known->statedAt >= m_options.probeInterval;
}

double server_limit_table::shareOf(const listed_server& server, const fleet_view& fleet, time_point now)
{
    entry* known = find(server);
    if (!known || !known->requestsPerSecond)
        return 0;
    selectSenders(server, *known, fleet, now);
    return known->isSender ? *known->requestsPerSecond / static_cast<double>(known->senders) : 0;
}

void server_limit_table::consumeToken(const listed_server& server, const fleet_view& fleet, time_point now)
{
    entry* known = find(server);
    if (!known || !known->requestsPerSecond)
        return;
    refill(server, *known, fleet, now);
    known->tokens = std::max(known->tokens - 1, 0.0);
}

void server_limit_table::countSkip(const listed_server& server)
{
    if (entry* known = find(server))
        ++known->skips;
}

std::vector<shared_limit> server_limit_table::takeUpdates(time_point now)
{
    std::vector<shared_limit> changed;
    std::vector<shared_limit> unchanged;
    std::erase_if(m_entries, [&](const auto& pair) { return !pair.second.requestsPerSecond && now - pair.second.limitedAt > m_options.memory; });
    for (auto& [id, known] : m_entries) {
        const bool isDue = known.isOwnStatement && known.statedAt > known.publishedAt && now - known.publishedAt >= m_options.publishInterval;
        if (!known.isChanged && !isDue)
            continue;
        (known.isChanged ? changed : unchanged).push_back({ .server = serverHashOf(id), .requestsPerSecond = known.requestsPerSecond, .age = now - known.statedAt });
        known.isChanged = false;
        known.publishedAt = now;
    }
    changed.insert(changed.end(), unchanged.begin(), unchanged.end());
    return changed;
}

std::vector<limit_event> server_limit_table::takeEvents(time_point now)
{
    std::vector<limit_event> events = std::exchange(m_events, {});
    for (auto& [id, known] : m_entries) {
        if (known.skips == 0 || now - known.bindingLoggedAt < m_options.eventInterval)
            continue;
        events.push_back({ .server = id, .previous = known.requestsPerSecond, .current = known.requestsPerSecond, .isOwnStatement = known.isOwnStatement, .skips = std::exchange(known.skips, 0) });
        known.bindingLoggedAt = now;
    }
    return events;
}

std::size_t server_limit_table::limitedServers() const
{
    return static_cast<std::size_t>(std::count_if(m_entries.begin(), m_entries.end(), [](const auto& pair) { return pair.second.requestsPerSecond.has_value(); }));
}

} // namespace radishflow
