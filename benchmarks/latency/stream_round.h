// Declares runRound, which reads a number of concurrent streams and measures the latency of their tokens.
#pragma once

#include <chrono>
#include <string>
#include <vector>

namespace radishflow {

struct round_options {
    std::string address; ///< "IP:port" of a daemon or an engine.
    int streams = 1; ///< Concurrent streams.
    int responses = 1; ///< Responses that each stream reads in succession.
    int tokens = 100; ///< Per response.
    std::chrono::milliseconds spread { 1000 }; ///< Time over which the starts of the streams are evenly spread.
};

struct round_latencies {
    std::vector<double> firstToken; ///< Milliseconds from just before the connection attempt to the first event.
    std::vector<double> betweenTokens; ///< Milliseconds between consecutive events.
    int completed = 0; ///< Responses that were complete.
    int failed = 0; ///< Responses that were incomplete or had a status other than 200.
    std::string firstError;
};

/// Runs one thread per stream and returns the times of all responses.
round_latencies runRound(const round_options&);

} // namespace radishflow
