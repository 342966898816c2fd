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
static constexpr int maxPromptAgeMs = 60000; // Longer than uses of prompts count.
static constexpr int maxDelayMs = 600000; // Longer than any caller waits.
static constexpr int maxDelayAgeMs = 60000; // Longer than response times count.
static constexpr int maxContactAgeMs = 60000; // Older contacts show nothing.
static constexpr std::size_t maxZoneBytes = 64;
static constexpr std::size_t maxSenderBytes = 128;
static constexpr int maxNoticeAgeMs = 60000; // Longer than notices count.
static constexpr double shareUnit = 1e6; // Shares are sent in millionths.
// Outcomes of responses that are no bucket of a pace.
static constexpr std::int32_t noPace = -1;
static constexpr std::int32_t failedResponse = -2;
static constexpr std::size_t expectedDatagramBytes = 1200;

static hints_wire::RouteTally encodeTally(const route_tally& tally)
{
    hints_wire::RouteTally wire;
    wire.route = static_cast<std::int32_t>(tally.route);
    wire.responses = static_cast<std::int32_t>(tally.responses);
    wire.failures = static_cast<std::int32_t>(tally.failures);
    for (std::size_t bucket = 0; bucket < paceBuckets; ++bucket) {
        if (tally.paces[bucket] == 0)
            continue;
        wire.paces.push_back(static_cast<std::int32_t>(bucket));
        wire.paces.push_back(static_cast<std::int32_t>(tally.paces[bucket]));
    }
    return wire;
}

static hints_wire::RolloutEvidence encodeEvidence(const rollout_evidence& evidence)
{
    hints_wire::RolloutEvidence wire;
    wire.service_key = static_cast<std::int32_t>(evidence.service);
    wire.order = static_cast<std::int64_t>(evidence.order);
    wire.requests = static_cast<std::int64_t>(evidence.requests);
    wire.target_requests = static_cast<std::int64_t>(evidence.targetRequests);
    wire.base_in_flight = static_cast<std::int32_t>(evidence.baseInFlight);
    for (std::size_t index = 0; index < std::min(evidence.base.size(), maxRolloutRoutes); ++index)
        wire.base.push_back(encodeTally(evidence.base[index]));
    const std::size_t first = evidence.target.size() - std::min(evidence.target.size(), maxRolloutSamples);
    for (std::size_t index = first; index < evidence.target.size(); ++index) {
        const version_sample& sample = evidence.target[index];
        wire.target_routes.push_back(static_cast<std::int32_t>(sample.route));
        wire.target_servers.push_back(static_cast<std::int32_t>(sample.server));
        wire.target_outcomes.push_back(sample.isFailure ? failedResponse : sample.pace ? static_cast<std::int32_t>(*sample.pace)
                                                                                       : noPace);
    }
    return wire;
}

static void encodeRollouts(const server_hints& hints, hints_wire::Hints& wire)
{
    for (std::size_t index = 0; index < std::min(hints.rolloutNotices.size(), maxRolloutNotices); ++index) {
        const rollout_notice& notice = hints.rolloutNotices[index];
        hints_wire::RolloutNotice hint;
        hint.service_key = static_cast<std::int32_t>(notice.service);
        hint.order = static_cast<std::int64_t>(notice.order);
        hint.state = static_cast<std::int32_t>(notice.state);
        hint.suspended = notice.isSuspended;
        hint.trial = notice.isTrial;
        hint.share_per_million = static_cast<std::int32_t>(std::lround(std::clamp(notice.share, 0.0, 1.0) * shareUnit));
        const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(notice.age);
        hint.age_ms = static_cast<std::int32_t>(std::clamp<std::int64_t>(age.count(), 0, maxNoticeAgeMs));
        wire.rollout_notices.push_back(hint);
    }
    for (const rollout_evidence& evidence : hints.rolloutEvidence)
        wire.rollout_evidence.push_back(encodeEvidence(evidence));
}

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
    for (std::size_t index = 0; index < std::min(hints.promptReports.size(), maxPromptReports); ++index) {
        const prompt_report& report = hints.promptReports[index];
        wire.reported_prompts.push_back(static_cast<std::int32_t>(report.prompt));
        wire.reported_servers.push_back(static_cast<std::int32_t>(report.server));
        const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(report.age);
        wire.reported_ages_ms.push_back(static_cast<std::int32_t>(std::clamp<std::int64_t>(age.count(), 0, maxPromptAgeMs)));
    }
    for (std::size_t index = 0; index < std::min(hints.delays.size(), maxDelayHints); ++index) {
        const shared_delay& delay = hints.delays[index];
        wire.delay_servers.push_back(static_cast<std::int32_t>(delay.server));
        wire.delays_ms.push_back(static_cast<std::int32_t>(std::clamp<std::int64_t>(delay.delay.count(), 0, maxDelayMs)));
        const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(delay.age);
        wire.delay_ages_ms.push_back(static_cast<std::int32_t>(std::clamp<std::int64_t>(age.count(), 0, maxDelayAgeMs)));
    }
    if (!hints.senderToken.empty()) {
        wire.__set_sender(hints.sender.value());
        wire.__set_sender_token(hints.senderToken);
    }
    encodeRollouts(hints, wire);
    return encodeCompact(wire, expectedDatagramBytes);
}

static bool isValid(const hints_wire::RouteTally& tally)
{
    if (tally.responses < 0 || tally.failures < 0 || tally.failures > tally.responses || tally.paces.size() % 2 != 0 || tally.paces.size() > 2 * paceBuckets)
        return false;
    for (std::size_t index = 0; index < tally.paces.size(); index += 2) {
        if (tally.paces[index] < 0 || tally.paces[index] >= static_cast<std::int32_t>(paceBuckets) || tally.paces[index + 1] < 0)
            return false;
    }
    return true;
}

static bool isValid(const hints_wire::RolloutEvidence& evidence)
{
    const bool hasValidTallies = evidence.base.size() <= maxRolloutRoutes && std::all_of(evidence.base.begin(), evidence.base.end(), [](const hints_wire::RouteTally& tally) { return isValid(tally); });
    const bool hasValidSamples = evidence.target_routes.size() <= maxRolloutSamples && evidence.target_servers.size() == evidence.target_routes.size() && evidence.target_outcomes.size() == evidence.target_routes.size();
    const bool hasValidOutcomes = std::all_of(evidence.target_outcomes.begin(), evidence.target_outcomes.end(), [](std::int32_t outcome) { return outcome >= failedResponse && outcome < static_cast<std::int32_t>(paceBuckets); });
    return hasValidTallies && hasValidSamples && hasValidOutcomes && evidence.requests >= 0 && evidence.target_requests >= 0 && evidence.base_in_flight >= 0;
}

static bool hasValidRollouts(const hints_wire::Hints& wire)
{
    const auto isValidNotice = [](const hints_wire::RolloutNotice& notice) { return notice.share_per_million >= 0 && notice.share_per_million <= static_cast<std::int32_t>(shareUnit) && notice.age_ms >= 0 && notice.age_ms <= maxNoticeAgeMs && notice.state >= 0 && notice.state <= static_cast<std::int32_t>(rollout_state::RolledBack); };
    return wire.rollout_notices.size() <= maxRolloutNotices && std::all_of(wire.rollout_notices.begin(), wire.rollout_notices.end(), isValidNotice)
        && std::all_of(wire.rollout_evidence.begin(), wire.rollout_evidence.end(), [](const hints_wire::RolloutEvidence& evidence) { return isValid(evidence); });
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
    const bool hasValidReports = wire.reported_prompts.size() <= maxPromptReports && wire.reported_servers.size() == wire.reported_prompts.size() && wire.reported_ages_ms.size() == wire.reported_prompts.size() && std::all_of(wire.reported_ages_ms.begin(), wire.reported_ages_ms.end(), [](int age) { return age >= 0 && age <= maxPromptAgeMs; });
    const auto isWithin = [](const std::vector<std::int32_t>& values, int max) { return std::all_of(values.begin(), values.end(), [max](int value) { return value >= 0 && value <= max; }); };
    const bool hasValidDelays = wire.delay_servers.size() <= maxDelayHints && wire.delays_ms.size() == wire.delay_servers.size() && wire.delay_ages_ms.size() == wire.delay_servers.size() && isWithin(wire.delays_ms, maxDelayMs) && isWithin(wire.delay_ages_ms, maxDelayAgeMs);
    const bool hasValidSender = wire.sender.size() <= maxSenderBytes && wire.sender_token.size() <= maxSenderBytes;
    return hasValidSender && hasValidDelays && hasValidReports && hasValidRollouts(wire) && hasValidLoads && hasValidContacts && hasValidAges && hasAllAges && hasValidCrashes && hasValidParts && hasValidLimits && wire.limits.size() <= maxLimitHints && wire.parts.size() <= maxPartHints && hasValidPromptHolders && wire.servers.size() == wire.loads.size() && wire.servers.size() <= maxLoadHints && wire.crashes.size() <= maxCrashHints;
}

static rollout_evidence decodeEvidence(const hints_wire::RolloutEvidence& wire)
{
    rollout_evidence evidence {
        .service = static_cast<std::uint32_t>(wire.service_key),
        .order = static_cast<std::uint64_t>(wire.order),
        .requests = static_cast<std::uint64_t>(wire.requests),
        .targetRequests = static_cast<std::uint64_t>(wire.target_requests),
        .baseInFlight = static_cast<std::uint32_t>(wire.base_in_flight),
        .base = {},
        .target = {},
    };
    for (const hints_wire::RouteTally& tally : wire.base) {
        route_tally decoded { .route = static_cast<std::uint32_t>(tally.route), .responses = static_cast<std::uint32_t>(tally.responses), .failures = static_cast<std::uint32_t>(tally.failures) };
        for (std::size_t index = 0; index < tally.paces.size(); index += 2)
            decoded.paces[static_cast<std::size_t>(tally.paces[index])] = static_cast<std::uint32_t>(tally.paces[index + 1]);
        evidence.base.push_back(decoded);
    }
    for (std::size_t index = 0; index < wire.target_routes.size(); ++index) {
        const std::int32_t outcome = wire.target_outcomes[index];
        evidence.target.push_back({
            .route = static_cast<std::uint32_t>(wire.target_routes[index]),
            .server = static_cast<std::uint32_t>(wire.target_servers[index]),
            .isFailure = outcome == failedResponse,
            .pace = outcome >= 0 ? std::optional { static_cast<std::size_t>(outcome) } : std::nullopt,
        });
    }
    return evidence;
}

static void decodeRollouts(const hints_wire::Hints& wire, server_hints& hints)
{
    for (const hints_wire::RolloutNotice& notice : wire.rollout_notices) {
        hints.rolloutNotices.push_back({
            .service = static_cast<std::uint32_t>(notice.service_key),
            .order = static_cast<std::uint64_t>(notice.order),
            .state = static_cast<rollout_state>(notice.state),
            .isSuspended = notice.suspended,
            .isTrial = notice.trial,
            .share = notice.share_per_million / shareUnit,
            .age = std::chrono::milliseconds { notice.age_ms },
        });
    }
    for (const hints_wire::RolloutEvidence& evidence : wire.rollout_evidence)
        hints.rolloutEvidence.push_back(decodeEvidence(evidence));
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
    for (std::size_t index = 0; index < wire.reported_prompts.size(); ++index)
        hints.promptReports.push_back({ .prompt = static_cast<std::uint32_t>(wire.reported_prompts[index]), .server = static_cast<std::uint32_t>(wire.reported_servers[index]), .age = std::chrono::milliseconds { wire.reported_ages_ms[index] } });
    for (std::size_t index = 0; index < wire.delay_servers.size(); ++index)
        hints.delays.push_back({ .server = static_cast<std::uint32_t>(wire.delay_servers[index]), .delay = std::chrono::milliseconds { wire.delays_ms[index] }, .age = std::chrono::milliseconds { wire.delay_ages_ms[index] } });
    if (wire.__isset.sender && wire.__isset.sender_token) {
        hints.sender = daemon_id { wire.sender };
        hints.senderToken = wire.sender_token;
    }
    decodeRollouts(wire, hints);
    return hints;
}

} // namespace radishflow
