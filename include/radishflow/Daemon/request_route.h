// Declares request_route, which tries candidate servers for one request in order.
#pragma once

#include "radishflow/Daemon/known_server.h"
#include "radishflow/Daemon/owner_client.h"
#include "radishflow/Daemon/shared_retry_budget.h"
#include "radishflow/Placement/probe_sequence.h"
#include "radishflow/Requests/answer_part.h"
#include "radishflow/Requests/request_submission.h"
#include "radishflow/Support/monotonic_clock.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace radishflow {

/// Order in which a route tries its candidate servers.
enum class rank_order {
    AsRanked, ///< In the order of the ranking.
    HoldersFirst, ///< Servers that may hold the chat's prefix first, in the order of probe_sequence.
};

/// Tries the ranked servers until one responds. Used by one thread. After a server has refused a non-repeatable call,
/// the next one is tried only if the refusal states that nothing was executed.
class request_route {
public:
    request_route(owner_client&, shared_retry_budget&, request_submission prototype, std::vector<known_server> rank, bool isRepeatable, rank_order order = rank_order::AsRanked);

    /// Submits the request to the first server that accepts it. Returns the reason when none does.
    std::optional<refusal> start();

    /// Reads the response from offset, waiting at most the given time. As long as no byte was forwarded, a failed
    /// server is followed by the next one.
    answer_part read(std::uint64_t offset, std::chrono::milliseconds wait);

    void cancel();

    /// Returns the server that accepted the request; valid after start() has succeeded.
    const server_id& server() const { return m_rank[m_lastAttempt.server].id; }

private:
    answer_part readOnce(std::uint64_t offset, std::chrono::milliseconds wait);
    std::optional<refusal> tryRemaining(refusal last);
    std::optional<refusal> finalRefusal(refusal last) const;
    bool canTryNextServer(const refusal&);
    std::optional<placement_attempt> nextAttempt();
    bool startSecondRound();
    int reportedLoadExcept(const server_id&) const;
    std::optional<refusal> submitTo(const placement_attempt&);
    std::optional<refusal> offer(const known_server&);
    refusal refusalFor(const failure& ownerFailure, bool wasAccepted) const;

    owner_client& m_ownerClient;
    shared_retry_budget& m_retries;
    request_submission m_submission;
    std::vector<known_server> m_rank;
    std::optional<probe_sequence> m_probeSequence; ///< Only for HoldersFirst.
    std::uint32_t m_next = 0; ///< Index in the ranking of the next server to try when no probe sequence is used.
    placement_attempt m_lastAttempt; ///< Most recent attempt.
    std::unordered_map<server_id, int> m_reportedLoads; ///< Running requests reported by servers that refused because of their load share.
    bool m_isSecondRound = false;
    std::string m_peer;
    std::string m_streamId;
    time_point m_deadline;
    bool m_isRepeatable;
    bool m_hasForwarded = false;
    bool m_hasRetried = false; ///< True once an attempt may have failed during execution.
};

} // namespace radishflow
