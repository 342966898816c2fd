// Implements the encoding of server hints in Thrift's compact protocol.
#include "radishflow/Fleet/hint_codec.h"

#include "radishflow/Gossip/compact_message.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <hints_types.h>

namespace radishflow {

// No server can run more requests; a datagram with a higher load is invalid.
static constexpr int maxRequestsPerServer = 100000;
static constexpr std::size_t maxServerIdBytes = 64;
// A report of this age is of no use to any receiver. Older ones, such as those of a daemon that was suspended, get this age.
static constexpr int maxLoadAgeMs = 60000;
// Daemons of earlier versions publish no ages, and publish each report once, within a few hundred milliseconds.
static constexpr std::chrono::milliseconds assumedLoadAge { 300 };
static constexpr int maxPartAgeMs = 3600000; // Longer than crashes count.
static constexpr double maxRequestsPerSecond = 1e6; // Higher limits never bind.
static constexpr int maxLimitAgeMs = 3600000; // Longer than limits are published.
static constexpr int maxContactAgeMs = 60000; // Older contacts show nothing.
static constexpr std::size_t maxZoneBytes = 64;
static constexpr std::size_t expectedDatagramBytes = 1200;

std::string encodeHints(const server_hints& hints)
{
    hints_wire::Hints wire;
    for (std::size_t index = 0; index < std::min(hints.loads.size(), maxLoadHints); ++index) {
        wire.servers.push_back(static_cast<std::int32_t>(hints.loads[index].server));
        wire.loads.push_back(hints.loads[index].requests);
        const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(hints.loads[index].age);
        wire.load_ages_ms.push_back(static_cast<std::int32_t>(std::clamp<std::int64_t>(age.count(), 0, maxLoadAgeMs)));
    }
    for (std::size_t index = 0; index < std::min(hints.crashes.size(), maxCrashHints); ++index) {
        const crash_record& crash = hints.crashes[index];
        hints_wire::CrashHint hint;
        hint.fingerprint_high = static_cast<std::int64_t>(crash.fingerprint.high);
        hint.fingerprint_low = static_cast<std::int64_t>(crash.fingerprint.low);
        hint.server = crash.server.value();
        hint.remaining_ms = static_cast<std::int32_t>(std::chrono::duration_cast<std::chrono::milliseconds>(crash.remaining).count());
        if (crash.progress == response_progress::Steady)
            hint.__set_had_progress(true);
        wire.crashes.push_back(hint);
    }
    for (std::size_t index = 0; index < std::min(hints.promptHolders.size(), maxPromptHints); ++index) {
        wire.prompts.push_back(static_cast<std::int32_t>(hints.promptHolders[index].prompt));
        wire.homes.push_back(static_cast<std::int32_t>(hints.promptHolders[index].server));
    }
    for (std::size_t index = 0; index < std::min(hints.parts.size(), maxPartHints); ++index) {
        const part_evidence& evidence = hints.parts[index];
        hints_wire::PartHint hint;
        hint.part = static_cast<std::int64_t>(evidence.part);
        hint.process = evidence.process.value();
        hint.zone = evidence.zone.value();
        const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(evidence.age);
        hint.age_ms = static_cast<std::int32_t>(std::clamp<std::int64_t>(age.count(), 0, maxPartAgeMs));
        wire.parts.push_back(hint);
    }
    for (std::size_t index = 0; index < std::min(hints.limits.size(), maxLimitHints); ++index) {
        const shared_limit& limit = hints.limits[index];
        hints_wire::LimitHint hint;
        hint.server = static_cast<std::int32_t>(limit.server);
        if (limit.requestsPerSecond)
            hint.__set_milli_requests_per_second(static_cast<std::int32_t>(std::llround(std::min(*limit.requestsPerSecond, maxRequestsPerSecond) * 1000)));
        const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(limit.age);
        hint.age_ms = static_cast<std::int32_t>(std::clamp<std::int64_t>(age.count(), 0, maxLimitAgeMs));
        wire.limits.push_back(hint);
    }
    for (std::size_t index = 0; index < std::min(hints.contacts.size(), maxContactHints); ++index) {
        wire.contact_services.push_back(static_cast<std::int32_t>(hints.contacts[index].service));
        const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(hints.contacts[index].age);
        wire.contact_ages_ms.push_back(static_cast<std::int32_t>(std::clamp<std::int64_t>(age.count(), 0, maxContactAgeMs)));
    }
    for (std::size_t index = 0; index < std::min(hints.askedServices.size(), maxContactHints); ++index)
        wire.asked_services.push_back(static_cast<std::int32_t>(hints.askedServices[index]));
    return encodeCompact(wire, expectedDatagramBytes);
}

static bool isValid(const hints_wire::Hints& wire)
{
    const bool hasValidLoads = std::all_of(wire.loads.begin(), wire.loads.end(), [](int requests) { return requests >= 0 && requests <= maxRequestsPerServer; });
    const bool hasValidAges = std::all_of(wire.load_ages_ms.begin(), wire.load_ages_ms.end(), [](int age) { return age >= 0 && age <= maxLoadAgeMs; });
    const bool hasAllAges = wire.load_ages_ms.empty() || wire.load_ages_ms.size() == wire.loads.size();
    const bool hasValidCrashes = std::all_of(wire.crashes.begin(), wire.crashes.end(), [](const hints_wire::CrashHint& crash) { return crash.remaining_ms > 0 && crash.server.size() <= maxServerIdBytes; });
    const bool hasValidParts = std::all_of(wire.parts.begin(), wire.parts.end(), [](const hints_wire::PartHint& part) { return part.age_ms >= 0 && part.age_ms <= maxPartAgeMs && part.process.size() <= maxServerIdBytes && part.zone.size() <= maxZoneBytes; });
    const bool hasValidLimits = std::all_of(wire.limits.begin(), wire.limits.end(), [](const hints_wire::LimitHint& limit) { return limit.age_ms >= 0 && limit.age_ms <= maxLimitAgeMs && (!limit.__isset.milli_requests_per_second || limit.milli_requests_per_second >= 0); });
    const bool hasValidPromptHolders = wire.prompts.size() == wire.homes.size() && wire.homes.size() <= maxPromptHints;
    const bool hasValidContacts = wire.contact_services.size() == wire.contact_ages_ms.size() && wire.contact_services.size() <= maxContactHints && wire.asked_services.size() <= maxContactHints && std::all_of(wire.contact_ages_ms.begin(), wire.contact_ages_ms.end(), [](int age) { return age >= 0 && age <= maxContactAgeMs; });
    return hasValidLoads && hasValidContacts && hasValidAges && hasAllAges && hasValidCrashes && hasValidParts && hasValidLimits && wire.limits.size() <= maxLimitHints && wire.parts.size() <= maxPartHints && hasValidPromptHolders && wire.servers.size() == wire.loads.size() && wire.servers.size() <= maxLoadHints && wire.crashes.size() <= maxCrashHints;
}

std::optional<server_hints> decodeHints(std::string_view bytes)
{
    hints_wire::Hints wire;
    if (!decodeCompact(bytes, static_cast<int>(bytes.size()), wire) || !isValid(wire))
        return std::nullopt;
    server_hints hints;
    for (std::size_t index = 0; index < wire.contact_services.size(); ++index)
        hints.contacts.push_back({ .service = static_cast<std::uint32_t>(wire.contact_services[index]), .age = std::chrono::milliseconds { wire.contact_ages_ms[index] } });
    for (const std::int32_t service : wire.asked_services)
        hints.askedServices.push_back(static_cast<std::uint32_t>(service));
    for (std::size_t index = 0; index < wire.servers.size(); ++index) {
        const std::chrono::milliseconds age = wire.load_ages_ms.empty() ? assumedLoadAge : std::chrono::milliseconds { wire.load_ages_ms[index] };
        hints.loads.push_back({ .server = static_cast<std::uint32_t>(wire.servers[index]), .requests = wire.loads[index], .age = age });
    }
    for (std::size_t index = 0; index < wire.prompts.size(); ++index)
        hints.promptHolders.push_back({ .prompt = static_cast<std::uint32_t>(wire.prompts[index]), .server = static_cast<std::uint32_t>(wire.homes[index]) });
    for (const hints_wire::CrashHint& crash : wire.crashes) {
        hints.crashes.push_back({
            .fingerprint = { .high = static_cast<std::uint64_t>(crash.fingerprint_high), .low = static_cast<std::uint64_t>(crash.fingerprint_low) },
            .server = server_id { crash.server },
            .remaining = std::chrono::milliseconds { crash.remaining_ms },
            .progress = crash.__isset.had_progress && crash.had_progress ? response_progress::Steady : response_progress::None,
        });
    }
    for (const hints_wire::PartHint& part : wire.parts) {
        hints.parts.push_back({
            .part = static_cast<std::uint64_t>(part.part),
            .process = server_id { part.process },
            .zone = zone_id { part.zone },
            .age = std::chrono::milliseconds { part.age_ms },
        });
    }
    for (const hints_wire::LimitHint& limit : wire.limits) {
        hints.limits.push_back({
            .server = static_cast<std::uint32_t>(limit.server),
            .requestsPerSecond = limit.__isset.milli_requests_per_second ? std::optional { limit.milli_requests_per_second / 1000.0 } : std::nullopt,
            .age = std::chrono::milliseconds { limit.age_ms },
        });
    }
    return hints;
}

} // namespace radishflow
