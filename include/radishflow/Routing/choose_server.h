// Declares the choice of a backend server for a request by prompt affinity and load.
#pragma once

#include "radishflow/Routing/server_candidate.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

namespace radishflow {

/// Loads of a server, as multiples of the mean load and additional requests, between which the share of requests that it
/// accepts falls from all to none.
struct load_range {
    double fullMultiple = 0; ///< Up to this load the server accepts all requests.
    double fullSlack = 0;
    double maxMultiple = 0; ///< Above this load it accepts none.
    double maxSlack = 0;
};

struct choose_server_options {
    load_range ranked { .fullMultiple = 0.7, .fullSlack = 1, .maxMultiple = 1.5, .maxSlack = 2 }; ///< Of a server that is chosen by rank.
    load_range holder { .fullMultiple = 1.4, .fullSlack = 2, .maxMultiple = 2, .maxSlack = 3 }; ///< Of a server that holds the prompt; up to the platform's bound, since any other server has to read or copy the prompt first.
    bool choosesOfTwo = false; ///< A prompt that no server holds goes to the less loaded of the first two ranks, instead of to the first one.
    std::size_t sampleSize = 0; ///< Number of servers, drawn for each request, the least loaded of which gets a request that none accepts by rank; 0 for all.
    double zonePenalty = 0.5; ///< Requests added to the load of a server in another availability zone.
};

/// Returns the mean load over all servers of the service, including those that accept no new requests, as in the platform's
/// bound on a server's load.
double meanLoadOf(std::span<const server_candidate>, std::size_t serversOfService);

/// Returns the index of the candidate that gets the request, or nothing if there are no candidates.
///
/// A request with an affinity goes to the first holder of its prompt, otherwise to the server of the highest rendezvous
/// rank, so that requests that share a prompt reach the server that caches it. Servers that do not accept the request at
/// their load are skipped, which moves a hot prompt to its next rank. A request without an affinity, or that no server
/// accepts, goes to the least loaded server, of a sample if the options set one: with old loads, all daemons would select the same
/// server of all. The holders are indices into the candidates, in the order of preference.
std::optional<std::size_t> chooseServer(std::span<const server_candidate>, std::size_t serversOfService, std::uint64_t affinity, std::uint64_t tieBreak, const choose_server_options& = {}, std::span<const std::size_t> holders = {});

} // namespace radishflow
