// Declares backend_exchange, one request with its tries at one backend server.
#pragma once

#include "radishflow/Backend/backend_client_options.h"
#include "radishflow/Backend/exchange_outcome.h"
#include "radishflow/Backend/write_gate.h"
#include "radishflow/Requests/answer_buffer.h"
#include "radishflow/Requests/request_submission.h"
#include "radishflow/Requests/response_stream.h"
#include "radishflow/Support/monotonic_clock.h"

#include <cstdint>
#include <memory>

namespace Poco::Net {
class HTTPClientSession;
}

namespace radishflow {

/// Runs one submission; used once, by one thread.
class backend_exchange {
public:
    backend_exchange(const backend_client_options&, const request_submission&, const write_gate&, answer_buffer&);

    exchange_outcome run();

private:
    enum class step {
        Ended, ///< The buffer has been ended.
        Cut, ///< The stream broke and may be resumed.
    };

    std::unique_ptr<Poco::Net::HTTPClientSession> openSession() const;
    step tryOnce();
    step tryThroughGate(Poco::Net::HTTPClientSession&);
    void sendRequest(Poco::Net::HTTPClientSession&, term_number) const;
    step copyAnswer(Poco::Net::HTTPClientSession&);
    step copyEvents(response_stream&, const response_head&);
    step copyPlain(response_stream&, const response_head&);
    void beginOnce(const response_stream&, const response_head&);
    void noteReset();
    std::chrono::milliseconds timeLeft() const;
    void breakOff(const char* title, const std::string& detail);
    void cancelAtServer() const;

    const backend_client_options& m_options;
    const request_submission& m_submission;
    const write_gate& m_gate;
    answer_buffer& m_answer;
    exchange_outcome m_outcome;
    time_point m_started;
    std::uint64_t m_lastEvent;
    bool m_hasBegun = false;
};

} // namespace radishflow
