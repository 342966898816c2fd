// Declares a round of streams and the times of their first events.
#pragma once

#include <chrono>
#include <string>
#include <vector>

namespace radishflow {

struct event_round_options {
    std::string address; ///< "host:port" of a daemon or, to compare, of a backend server.
    std::string key;
    int callers = 16;
    double streamsPerSecond = 50; ///< By all callers together, whether earlier ones have ended or not.
    std::chrono::seconds length { 10 };
};

struct event_round {
    std::vector<double> firstEvent; ///< Milliseconds from the time at which the stream was due, sorted.
    int failed = 0;
};

event_round runEventRound(const event_round_options&);

} // namespace radishflow
