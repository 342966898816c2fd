// Implements the comparison of two versions of a service's software.
#include "radishflow/Routing/compare_versions.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <numeric>
#include <vector>

namespace radishflow {

namespace {

    // Bad responses of the target on some routes, beside the share that the other versions let expect.
    struct bad_count {
        std::size_t responses = 0;
        double expected = 0; ///< Sum of the expected shares over the responses.
        std::map<std::uint32_t, std::size_t> badByServer;
        std::map<std::uint32_t, std::size_t> responsesByServer;

        void add(const version_sample& sample, bool isBad, double expectedShare)
        {
            ++responses;
            expected += expectedShare;
            ++responsesByServer[sample.server];
            if (isBad)
                ++badByServer[sample.server];
        }

        std::size_t bad() const
        {
            return std::accumulate(badByServer.begin(), badByServer.end(), std::size_t { 0 }, [](std::size_t sum, const auto& entry) { return sum + entry.second; });
        }

        // One faulty server of several says nothing about the version.
        bool isSpread(const version_comparison_options& options) const
        {
            if (responsesByServer.size() < options.minServers)
                return false;
            if (responsesByServer.size() < 2)
                return true;
            const auto worst = std::max_element(badByServer.begin(), badByServer.end(), [](const auto& left, const auto& right) { return left.second < right.second; });
            if (worst == badByServer.end())
                return false;
            if (static_cast<double>(worst->second) <= options.maxServerShare * static_cast<double>(bad()))
                return true;
            // A server may have most of the bad responses only because it has most of the responses.
            const std::size_t worstResponses = responsesByServer.at(worst->first);
            const std::size_t otherBad = bad() - worst->second;
            const double worstShare = static_cast<double>(worst->second) / static_cast<double>(worstResponses);
            const double otherShare = static_cast<double>(otherBad) / static_cast<double>(std::max<std::size_t>(responses - worstResponses, 1));
            return otherBad >= options.minOtherBad && otherShare >= options.minOtherShare * worstShare;
        }
    };

} // namespace

// Returns the probability of at least `count` of `trials` events of probability `share`, or 1 if no more than the mean are given.
static double binomialTail(std::size_t count, std::size_t trials, double share)
{
    if (count == 0 || share >= 1)
        return 1;
    if (share <= 0)
        return 0;
    const auto n = static_cast<double>(trials);
    // About one half, and far above any bound on a false alarm.
    if (static_cast<double>(count) <= n * share)
        return 1;
    constexpr double negligible = 1e-9;
    double tail = 0;
    for (std::size_t hits = count; hits <= trials; ++hits) {
        const auto k = static_cast<double>(hits);
        const double probability = std::exp(std::lgamma(n + 1) - std::lgamma(k + 1) - std::lgamma(n - k + 1) + k * std::log(share) + (n - k) * std::log1p(-share));
        tail += probability;
        if (probability < negligible * tail)
            break;
    }
    return tail;
}

// One half is added to the events and one to the trials, so that a few responses without an event do not count as proof of none.
static double smoothedShare(std::uint32_t events, std::uint32_t trials)
{
    return (events + 0.5) / (trials + 1.0);
}

static std::uint32_t pacesOf(const route_tally& tally)
{
    return std::accumulate(tally.paces.begin(), tally.paces.end(), 0U);
}

// Returns the first slow bucket of a route; nothing if too few paces are known.
static std::optional<std::size_t> firstSlowBucket(const route_tally& base, const version_comparison_options& options)
{
    const std::uint32_t total = pacesOf(base);
    if (total < options.minBasePaces)
        return std::nullopt;
    std::uint32_t seen = 0;
    std::size_t bucket = 0;
    while (bucket < paceBuckets && (seen += base.paces[bucket]) * 4 < total * 3)
        ++bucket;
    return bucket + options.slowBuckets;
}

static std::uint32_t slowOf(const route_tally& tally, std::size_t firstSlow)
{
    const auto begin = tally.paces.begin() + static_cast<std::ptrdiff_t>(std::min(firstSlow, paceBuckets));
    return std::accumulate(begin, tally.paces.end(), 0U);
}

static std::optional<version_fault> faultOf(const bad_count& count, std::uint32_t route, bool isSlowness, const version_comparison_options& options)
{
    if (count.responses == 0)
        return std::nullopt;
    const double share = count.expected / static_cast<double>(count.responses);
    const std::size_t bad = count.bad();
    if (bad < options.minBad || binomialTail(bad, count.responses, share) > options.maxFalseAlarm || !count.isSpread(options))
        return std::nullopt;
    return version_fault { .route = route, .isSlowness = isSlowness, .bad = bad, .responses = count.responses, .expectedShare = share };
}

// Routes differ in how often they fail and how long they take, and a fault may show on one of them only.
std::optional<version_fault> findVersionFault(std::span<const route_tally> base, std::span<const version_sample> target, const version_comparison_options& options)
{
    std::map<std::uint32_t, const route_tally*> baseByRoute;
    route_tally all;
    for (const route_tally& tally : base) {
        baseByRoute[tally.route] = &tally;
        all.add(tally);
    }
    std::map<std::uint32_t, bad_count> failures;
    std::map<std::uint32_t, bad_count> slow;
    constexpr std::uint32_t together = 0;
    for (const version_sample& sample : target) {
        const auto found = baseByRoute.find(sample.route);
        const route_tally& usual = found == baseByRoute.end() ? all : *found->second;
        const double failureShare = smoothedShare(usual.failures, usual.responses) + options.failureMargin;
        failures[sample.route].add(sample, sample.isFailure, failureShare);
        failures[together].add(sample, sample.isFailure, failureShare);
        const auto firstSlow = found == baseByRoute.end() ? std::nullopt : firstSlowBucket(usual, options);
        if (!sample.pace || !firstSlow)
            continue;
        const double slowShare = smoothedShare(slowOf(usual, *firstSlow), pacesOf(usual)) + options.slowMargin;
        slow[sample.route].add(sample, *sample.pace >= *firstSlow, slowShare);
        slow[together].add(sample, *sample.pace >= *firstSlow, slowShare);
    }
    for (const auto& [route, count] : failures) {
        if (const auto fault = faultOf(count, route, false, options))
            return fault;
    }
    for (const auto& [route, count] : slow) {
        if (const auto fault = faultOf(count, route, true, options))
            return fault;
    }
    return std::nullopt;
}

} // namespace radishflow
