// Declares relay_call, one request of a caller on its way to backend servers and back.
#pragma once

#include "radishflow/Relay/attempt_history.h"
#include "radishflow/Relay/event_splitter.h"
#include "radishflow/Relay/relay_log.h"
#include "radishflow/Relay/relay_parts.h"
#include "radishflow/Relay/relay_protocol.h"
#include "radishflow/Relay/request_admission.h"
#include "radishflow/Relay/request_reader.h"
#include "radishflow/Relay/response_text.h"
#include "radishflow/Relay/server_exchange.h"

#include <cstddef>
#include <memory>
#include <optional>
#include <string>

namespace radishflow {

/// Used by one thread.
template <relay_protocol Protocol>
class relay_call {
public:
    relay_call(const Protocol&, const relay_parts&, relay_socket& caller, const caller_message&, bool keepsOpen);

    /// Serves the request. Returns whether the caller has a whole answer, so that the connection may go on.
    bool run();

private:
    enum class attempt_end {
        Finished, ///< The caller has its answer, or part of one that can't go on.
        Failed, ///< Another server may be tried.
        CallerGone,
    };
    struct server_failure {
        response_head head;
        std::string body;
    };

    bool refuse(const refusal&);
    std::optional<refusal> refusalWhileStopping() const;
    static bool isListening(const listed_server&);
    std::optional<refusal> refusalOfCrashing() const;
    std::optional<chosen_server> chooseServer();
    server_query queryFor(const fleet_view&) const;
    std::uint64_t affinity() const;
    attempt_end attempt(const chosen_server&);
    duration patience() const;
    std::size_t mostKeptConnections() const;
    bool tryResend();
    attempt_end judgeState(const listed_server&, server_exchange&, exchange_state, const answer_facts&);
    attempt_end judgeAnswer(const listed_server&, server_exchange&, const answer_facts&);
    attempt_end passWhole(const listed_server&, server_exchange&);
    attempt_end passEvents(const listed_server&, server_exchange&);
    attempt_end endOfFailure(const listed_server&, body_step);
    attempt_end fail(const listed_server&, server_outcome, bool mayHaveRun, const char* how);
    bool sendToCaller(std::string_view);
    bool giveUp();
    void note(const listed_server&, const char* how);
    void record(int status, const char* outcome);

    static time_point now() { return boottime_clock {}.now(); }

    const Protocol& m_protocol;
    const relay_parts& m_parts;
    relay_socket& m_caller;
    const caller_message& m_message;
    bool m_keepsOpen;
    relayed_request m_request;
    admitted_request m_admitted;
    std::shared_ptr<const server_list> m_servers;
    std::shared_ptr<const fleet_view> m_fleet;
    time_point m_deadline {};
    std::optional<request_fingerprint> m_fingerprint;
    attempt_history m_history;
    event_splitter m_events;
    std::optional<server_failure> m_failure; ///< The last failure that a server answered with.
    bool m_hasResendGrant = false; ///< A resend was taken from the budget and not used yet.
    bool m_hasBegun = false; ///< Part of the answer went to the caller.
    bool m_isAnswered = false;
    int m_arrivals = 0; ///< Servers that the request reached.
    request_record m_record;
};

} // namespace radishflow

#include "radishflow/Relay/relay_call_answers.h"
#include "radishflow/Relay/relay_call_steps.h"
