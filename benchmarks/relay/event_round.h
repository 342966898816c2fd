// Declares runEventRound, which starts streams at a fixed rate and measures the latency of their first events.
#pragma once

#include <chrono>
#include <string>
#include <vector>

namespace radishflow {

struct event_round_options {
    std::string address; ///< "host:port" of a daemon or, for comparison, of a backend server.
    std::string key;
    int callers = 16;
    double streamsPerSecond = 50; ///< Of all callers together. A caller that is still reading a stream starts its next one late.
    std::chrono::seconds length { 10 };
};

struct event_round {
    std::vector<double> firstEvent; ///< Milliseconds from the time at which the stream was due, sorted.
    int failed = 0; ///< Streams without an event or with a status other than 200.
};

/// Runs one thread per caller and returns after the last stream has ended.
event_round runEventRound(const event_round_options&);

} // namespace radishflow
