// Declares engine_core, which answers the requests to the engine's stand-in.
#pragma once

#include "radishflow/Emulator/engine_emulator_options.h"
#include "radishflow/Emulator/http_reply.h"
#include "radishflow/Support/boottime_clock.h"

#include "engine_batch.h"
#include "lagged_text.h"
#include "order_book.h"

#include <condition_variable>
#include <mutex>
#include <string>
#include <thread>

namespace radishflow {

/// Chat completions, metrics, cache events, cache transfer and orders, with faults and a record. Thread-safe.
class engine_core {
public:
    explicit engine_core(const engine_emulator_options&);
    ~engine_core();

    void serve(Poco::Net::HTTPServerRequest&, Poco::Net::HTTPServerResponse&);
    void setFaults(const Poco::JSON::Object&);
    Poco::JSON::Object::Ptr record();
    void stop();
    static bool asksToRefuse(const Poco::JSON::Object&) { return false; }
    static bool isRefusing() { return false; }

private:
    /// A connection's hold on a generation.
    struct hold {
        generation_ptr held;
        int attachment = 1;
        int sent = 0; ///< Tokens that the caller has.
        int cutAfter = 0; ///< Cuts the connection after so many tokens; 0 for never.
    };

    void produceTokens();
    void signalChanged();
    void waitWhilePaused();
    void chat(Poco::Net::HTTPServerRequest&, Poco::Net::HTTPServerResponse&);
    generation_request decode(const Poco::Net::HTTPServerRequest&, const std::string& body);
    hold take(Poco::Net::HTTPServerRequest&, const std::string& body);
    void stream(hold, Poco::Net::HTTPServerRequest&, Poco::Net::HTTPServerResponse&);
    int awaitTokens(const hold&);
    void answerWhole(const hold&, Poco::Net::HTTPServerRequest&, Poco::Net::HTTPServerResponse&);
    void release(const hold&);
    void cancel(const std::string& id, Poco::Net::HTTPServerResponse&);
    void events(Poco::Net::HTTPServerRequest&, Poco::Net::HTTPServerResponse&);
    void exportPrefix(const std::string& body, Poco::Net::HTTPServerResponse&);
    void importPrefix(const std::string& prefix, const std::string& body, Poco::Net::HTTPServerResponse&);
    void order(const std::string& body, Poco::Net::HTTPServerResponse&);
    std::string metricsText() const;

    engine_emulator_options m_options;
    boottime_clock m_clock;
    std::mutex m_mutex;
    engine_batch m_batch;
    order_book m_orders;
    std::condition_variable m_wake;
    std::uint64_t m_lifeSeen = 0;
    double m_startTime;
    bool m_isStopping = false;
    bool m_isPaused = false;
    std::string m_crashOn;
    int m_cutAfterTokens = 0;
    std::uint64_t m_unnamed = 0;
    duration m_eventLag;
    lagged_text<boottime_clock> m_metrics;
    std::thread m_producer;
};

} // namespace radishflow
