// Declares platform_core, which answers the requests to the platform's stand-in.
#pragma once

#include "radishflow/Emulator/http_reply.h"
#include "radishflow/Emulator/platform_emulator_options.h"
#include "radishflow/Support/boottime_clock.h"

#include "etcd_table.h"
#include "lagged_text.h"
#include "rate_limit.h"

#include <atomic>
#include <map>
#include <mutex>
#include <string>

namespace radishflow {

/// Table, objects, weights and host list with faults and a record. Thread-safe.
class platform_core {
public:
    explicit platform_core(const platform_emulator_options&);

    void serve(Poco::Net::HTTPServerRequest&, Poco::Net::HTTPServerResponse&);
    void setFaults(const Poco::JSON::Object&);
    Poco::JSON::Object::Ptr record();
    void stop();
    static bool asksToRefuse(const Poco::JSON::Object&);
    bool isRefusing() const { return m_isRefusing; }

private:
    enum class call_kind { Read,
        Write };

    bool admit(call_kind, Poco::Net::HTTPServerRequest&, Poco::Net::HTTPServerResponse&);
    bool losesRequest(Poco::Net::HTTPServerRequest&);
    void range(Poco::Net::HTTPServerRequest&, Poco::Net::HTTPServerResponse&);
    void transact(Poco::Net::HTTPServerRequest&, Poco::Net::HTTPServerResponse&);
    void putObject(Poco::Net::HTTPServerRequest&, Poco::Net::HTTPServerResponse&);
    void getObject(Poco::Net::HTTPServerRequest&, Poco::Net::HTTPServerResponse&);
    void getWeights(Poco::Net::HTTPServerResponse&);
    void finishWrite(Poco::Net::HTTPServerRequest&, Poco::Net::HTTPServerResponse&, int status, const std::string& body);

    boottime_clock m_clock;
    rate_limit<boottime_clock> m_writes;
    rate_limit<boottime_clock> m_reads;
    rate_limit<boottime_clock> m_weights;
    lagged_text<boottime_clock> m_hosts;
    etcd_table m_table;
    std::mutex m_objectsMutex;
    std::map<std::string, std::string> m_objects;
    std::atomic<bool> m_isStopping = false;
    std::atomic<bool> m_isHanging = false;
    std::atomic<bool> m_isRefusing = false;
    std::atomic<int> m_slowMilliseconds = 0;
    std::atomic<int> m_repliesToLose = 0;
    std::atomic<int> m_requestsToLose = 0;
    std::atomic<std::int64_t> m_writeCount = 0;
    std::atomic<std::int64_t> m_readCount = 0;
    std::atomic<std::int64_t> m_refusedWrites = 0;
    std::atomic<std::int64_t> m_refusedReads = 0;
    std::atomic<std::int64_t> m_weightCount = 0;
    std::atomic<std::int64_t> m_refusedWeights = 0;
    std::atomic<std::int64_t> m_lostReplies = 0;
    std::atomic<std::int64_t> m_lostRequests = 0;
};

} // namespace radishflow
