// Declares plain_core, which answers the requests to a plain service's stand-in.
#pragma once

#include "radishflow/Emulator/http_reply.h"
#include "radishflow/Emulator/plain_emulator_options.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace radishflow {

/// Counts executions per key, with faults and a record. Thread-safe.
class plain_core {
public:
    explicit plain_core(const plain_emulator_options&);

    void serve(Poco::Net::HTTPServerRequest&, Poco::Net::HTTPServerResponse&);
    void setFaults(const Poco::JSON::Object&);
    Poco::JSON::Object::Ptr record();
    void stop();
    static bool asksToRefuse(const Poco::JSON::Object&);
    bool isRefusing();

private:
    struct execution {
        std::int64_t number = 0; ///< How many times the key has been executed.
        std::int64_t life = 0; ///< Grows with each crash.
    };

    execution begin(const std::string& key, const std::string& body, std::uint64_t term);
    bool isOver(std::int64_t life);
    /// Returns whether the reply is to be sent.
    bool finish(std::int64_t life);

    std::mutex m_mutex;
    std::chrono::milliseconds m_slow;
    int m_limit;
    bool m_isStopping = false;
    bool m_isRefusing = false;
    std::string m_crashOn;
    int m_repliesToLose = 0;
    std::int64_t m_life = 0;
    double m_startTime;
    int m_running = 0;
    int m_maxRunning = 0;
    std::int64_t m_overloads = 0;
    std::int64_t m_crashes = 0;
    std::int64_t m_lostReplies = 0;
    std::uint64_t m_highestTerm = 0;
    std::int64_t m_lowerTerms = 0;
    std::map<std::string, std::int64_t> m_executions;
};

} // namespace radishflow
