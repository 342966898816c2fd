// Declares relay_call, which serves one request of a caller: admits it, sends it to backend servers, with resends where the
// route allows them, and forwards the response.
#pragma once

#include "radishflow/Relay/attempt_history.h"
#include "radishflow/Relay/event_splitter.h"
#include "radishflow/Relay/forwarding_fields.h"
#include "radishflow/Relay/relay_context.h"
#include "radishflow/Relay/relay_log.h"
#include "radishflow/Relay/relay_protocol.h"
#include "radishflow/Relay/request_admission.h"
#include "radishflow/Relay/request_reader.h"
#include "radishflow/Relay/response_text.h"
#include "radishflow/Relay/server_exchange.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace radishflow {

/// Serves one request. Not thread-safe.
template <relay_protocol Protocol>
class relay_call {
public:
    /// `forwarded` is what the daemon states that forwarded the request to this one; null for a request of a caller.
    relay_call(const Protocol&, const relay_context&, relay_socket& caller, const caller_message&, bool keepsOpen, const forwarded_request* forwarded = nullptr);

    relay_call(const relay_call&) = delete;
    relay_call& operator=(const relay_call&) = delete;

    /// Serves the request. Returns whether the caller was sent a complete response, so that its connection can be reused.
    bool run();

private:
    enum class attempt_result {
        Finished, ///< The response was sent to the caller.
        Failed, ///< The attempt failed; another server may be tried.
        CallerGone, ///< The caller disconnected.
    };
    /// A body that is held in memory, and the memory that is reserved for it.
    struct buffered_body {
        std::string bytes;
        response_reservation memory;
    };
    /// Complete error response (status 5xx) of a backend server.
    struct server_error_response {
        response_head head;
        buffered_body body;
        const char* outcome = "server_error"; ///< As recorded if the response is forwarded.
    };

    bool refuse(const refusal&, refusal_scope = refusal_scope::Request);
    /// Returns the refusal of a forwarded request that another daemon may be able to serve.
    static refusal refusalToPeer(const char* detail);
    /// Refuses a forwarded request that this daemon can't serve now; returns nothing if it can.
    std::optional<bool> refuseForwarded();
    /// Returns the fields that a response to a forwarded request needs.
    std::string forwardedFields() const;
    std::optional<refusal> refusalWhileStopping() const;
    /// Returns whether the request may be expected to end before this process, which is stopping.
    bool canEndBeforeStop() const;
    /// Connects to a server and closes the connection; returns Broken if the host refuses it.
    static io_outcome probe(const listed_server&);
    /// Records that the connection to a server broke; suspects a crash if its host refuses new ones.
    void recordIfCrashed(const listed_server&);
    void recordAbandoned(const listed_server&);
    /// Records that the server has sent a part of the response body.
    void recordProgress(const server_exchange& exchange);
    /// Returns what the server has sent in the current attempt, for the record of a crash.
    response_progress progress() const;
    /// Records that a server has said that it leaves.
    void recordLeaving(const listed_server&);
    void suspectCrash(const listed_server&);
    /// Waits for the decision on a suspected crash if it may quarantine the request.
    void awaitCrashDecision();
    void finishAttempt(const listed_server&, server_outcome);
    request_identity identify() const;
    std::optional<refusal> refusalForQuarantine() const;
    bool resumesStream() const { return !m_request.resumes.empty() || m_request.resumeAfter || (m_forwarded && m_forwarded->resumeAfter); }
    /// Looks up the version that began the stream which this request resumes; returns a refusal if it is unknown.
    std::optional<refusal> refusalForUnknownOrigin();
    /// Sends a request that resumes a stream to the service that began it.
    void selectServiceOfOrigin();
    /// Keeps the stream, whose first event in this response is about to be forwarded, at the version of its server.
    void recordOrigin(const listed_server&);
    std::optional<chosen_server> chooseServer();
    /// Chooses a server; for a stream that goes on, one which has stated that the process its entry names runs.
    std::optional<chosen_server> chooseKnownServer();
    /// Returns whether the entry of the server is known to describe the process that runs, as far as the request needs to know.
    bool isProcessKnown(const listed_server&);
    /// Releases a server to which no request was sent after all.
    void releaseUnused(const listed_server&, const char* result);
    server_query queryFor(const fleet_view&) const;
    /// Returns the versions that a roll-out allows for the next attempt.
    version_restriction restrictionForRollout() const;
    /// Records a complete response of a server for the roll-out of its service.
    void recordForRollout(const listed_server&, bool isFailure);
    /// Returns the time for the whole response, or for one event of a stream; nothing if it says little about the server's software.
    std::optional<duration> responsePace() const;
    std::shared_ptr<const dispatch_plan> dispatchPlan();
    /// Returns the daemon that dispatches the next attempt; nothing if this daemon sends the request to servers itself.
    std::optional<fleet_daemon> nextDispatcher();
    /// Forwards the request to a daemon that dispatches it; returns nothing if this daemon sends it to servers itself.
    std::optional<attempt_result> attemptAtDispatcher();
    /// Waits for a slot of a service that this daemon dispatches, and holds it for the attempt.
    std::optional<chosen_server> chooseServerWithSlot();
    std::uint64_t affinity() const;
    attempt_result attempt(const chosen_server&);
    duration responseTimeout() const;
    /// Returns how long a server or daemon that has received the request may be silent.
    std::chrono::milliseconds maxSilence() const;
    std::size_t maxIdleConnectionsToServer() const;
    bool tryReserveResend();
    /// Returns whether the request may be forwarded; waits for a decision whether access to the servers is lost.
    bool canForward();
    bool isAccessLost() { return !m_forwarded && m_context.access.isLost(m_admitted.service); }
    /// Forwards the request to another daemon; returns nothing if none takes requests.
    std::optional<attempt_result> attemptAtPeer();
    /// Forwards the request to the daemon, which the peer selector counts as in use.
    attempt_result attemptAt(const fleet_daemon&);
    attempt_result handlePeerState(const fleet_daemon&, const listed_server&, server_exchange&, exchange_state);
    attempt_result handlePeerResponse(const fleet_daemon&, const listed_server&, server_exchange&);
    attempt_result recordPeerFailure(const fleet_daemon&, peer_outcome, bool mayHaveRun, const char* result);
    /// Applies what the server, which responded to another daemon, states about itself.
    void applyServerStatements(const server_id&, const response_metadata&);
    attempt_result handleExchangeState(const listed_server&, server_exchange&, exchange_state, const response_metadata&);
    attempt_result handleResponse(const listed_server&, server_exchange&, const response_metadata&);
    /// Returns a reservation for a response of the server that responds to the current attempt.
    response_reservation reserveFor(const listed_server&) const;
    /// Reads a body into memory; returns Broken if it is too large.
    body_read_result readWholeBody(server_exchange&, buffered_body&);
    attempt_result forwardResponse(const listed_server&, server_exchange&);
    /// Forwards a body of known length as it arrives.
    attempt_result forwardUnbuffered(const listed_server&, server_exchange&);
    attempt_result finishResponse(const listed_server&, const server_exchange&, bool isSent);
    attempt_result forwardEvents(const listed_server&, server_exchange&);
    /// Records what the end of a response shows about crashes.
    void recordCompletion(const listed_server&, const server_exchange&);
    attempt_result handleBodyFailure(const listed_server&, body_read_result);
    attempt_result recordFailure(const listed_server&, server_outcome, bool mayHaveRun, const char* result);
    bool sendToCaller(std::string_view);
    /// Sends a complete response.
    bool sendToCaller(std::string head, const std::string& body);
    bool sendFailure();
    void recordAttempt(const listed_server&, const char* result);
    void recordOutcome(int status, const char* outcome);

    static time_point now() { return boottime_clock {}.now(); }

    const Protocol& m_protocol;
    const relay_context& m_context;
    const forwarded_request* m_forwarded;
    relay_socket& m_caller;
    const caller_message& m_message;
    bool m_keepsOpen;
    relayed_request m_request;
    admitted_request m_admitted;
    std::shared_ptr<const server_list> m_servers;
    std::shared_ptr<const fleet_view> m_fleet;
    time_point m_deadline {};
    request_identity m_identity;
    attempt_history m_history;
    event_splitter m_eventSplitter;
    std::optional<version_key> m_version; ///< Software version at which the stream began; not set before its first event.
    std::optional<server_error_response> m_serverError; ///< Last error response; forwarded if no attempt succeeds.
    bool m_isResendReserved = false; ///< A resend was taken from the retry budget and has not been used yet.
    bool m_hasResponseStarted = false; ///< Part of the response was sent to the caller.
    bool m_isResponseComplete = false;
    int m_contactedServers = 0; ///< Number of attempts that sent the request to a server.
    server_id m_suspectedServer; ///< Server that may have crashed in the last attempt; empty if none.
    int m_suspectedCrashes = 0;
    time_point m_attemptBegunAt {}; ///< Of the current attempt at a server.
    std::optional<time_point> m_firstPartAt; ///< When the first part of the response body was received in this attempt.
    time_point m_lastPartAt {};
    std::uint64_t m_lastEventBeforeAttempt = 0;
    prompt_origin m_promptOrigin = prompt_origin::None; ///< Of the current attempt.
    int m_attempts = 0; ///< Number of attempts at servers and other daemons.
    std::vector<daemon_id> m_triedPeers;
    int m_dispatches = 0; ///< Attempts at daemons that dispatch the request.
    bool m_wasRefusedSlot = false; ///< A daemon that dispatches the request had no slot for it.
    std::optional<held_slot> m_slot; ///< Held during an attempt at a server of a service that this daemon dispatches.
    std::optional<duration> m_slotRetryAfter; ///< Set if the request was refused for want of a slot.
    std::optional<fleet_daemon> m_peer; ///< Daemon at which the current attempt is made; not set for an attempt at a server.
    server_id m_respondingServer; ///< Server that sent the response to this or another daemon.
    std::optional<std::chrono::milliseconds> m_peerRetryAfter; ///< Of the last daemon that refused the request.
    bool m_hasNoServer = false; ///< No server was left to choose once before.
    bool m_isFinal = false; ///< No further attempt is made.
    request_record m_record;
};

} // namespace radishflow

#include "radishflow/Relay/relay_call_crashes.h"
#include "radishflow/Relay/relay_call_dispatch.h"
#include "radishflow/Relay/relay_call_forwarding.h"
#include "radishflow/Relay/relay_call_origins.h"
#include "radishflow/Relay/relay_call_responses.h"
#include "radishflow/Relay/relay_call_rollouts.h"
#include "radishflow/Relay/relay_call_slots.h"
#include "radishflow/Relay/relay_call_stopping.h"
