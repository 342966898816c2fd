// Declares the comparison of a new version of a service's software with the versions that it is to replace.
#pragma once

#include "radishflow/Routing/version_sample.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

namespace radishflow {

struct version_comparison_options {
    double maxFalseAlarm = 2e-4; ///< Probability with which one test finds an equal version worse.
    std::size_t minBad = 4; ///< Bad responses; fewer may have one cause elsewhere.
    double failureMargin = 0.05; ///< Share of failures by which a version may exceed the others.
    double slowMargin = 0.15; ///< Share of slow responses by which it may exceed them.
    std::size_t slowBuckets = 2; ///< A response is slow if its bucket lies that far above the one that three quarters of the others' responses do not exceed.
    std::uint32_t minBasePaces = 12; ///< Fewer responses of a route show no usual pace.
    std::size_t minServers = 1; ///< Of the target, with samples; a single one of several may be faulty itself.
    double maxServerShare = 0.7; ///< A server with a greater share of the bad responses than this, of several, is faulty itself unless the others are bad as well.
    std::size_t minOtherBad = 2; ///< Bad responses of the others that show it.
    double minOtherShare = 0.5; ///< Share of bad responses at the others that shows it, as a fraction of the server's own.
};

/// Why a version was found worse.
struct version_fault {
    std::uint32_t route = 0; ///< 0 if the routes show it together only.
    bool isSlowness = false; ///< Otherwise failures.
    std::size_t bad = 0;
    std::size_t responses = 0;
    double expectedShare = 0; ///< Share of bad responses of the other versions, and the margin.
};

/// Returns whether the samples of the target show that it fails or is slow more often than the other versions, route by route and
/// for all routes together; nothing if they do not. Each test states the probability of its result if the versions were equal.
std::optional<version_fault> findVersionFault(std::span<const route_tally> base, std::span<const version_sample> target, const version_comparison_options& = {});

} // namespace radishflow
