// Declares runRound, which holds a number of streams open at once and times their tokens.
#pragma once

#include <chrono>
#include <string>
#include <vector>

namespace radishflow {

struct round_options {
    std::string address; ///< "IP:port" of a daemon or an engine.
    int streams = 1; ///< Streams at once.
    int answers = 1; ///< Answers that each reads, one after the other.
    int tokens = 100; ///< Per answer.
    std::chrono::milliseconds spread { 1000 }; ///< The streams begin evenly over this time.
};

struct round_times {
    std::vector<double> firstToken; ///< Milliseconds from before the connect to the first event.
    std::vector<double> betweenTokens; ///< Milliseconds between events that follow each other.
    int whole = 0; ///< Answers that came to their end.
    int failed = 0;
    std::string firstError;
};

/// Runs one thread per stream.
round_times runRound(const round_options&);

} // namespace radishflow
