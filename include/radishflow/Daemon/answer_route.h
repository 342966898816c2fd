// Declares answer_route, the walk of one request over the servers in its rank.
#pragma once

#include "radishflow/Daemon/known_server.h"
#include "radishflow/Daemon/owner_link.h"
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

/// How a route goes over its rank.
enum class rank_order {
    AsRanked, ///< One server after the other.
    HeldFirst, ///< The servers that may hold the chat's prefix are asked for it first, as probe_sequence does.
};

/// Tries the servers in rank until one answers. Used by one thread.
///
/// A call that may not be repeated moves on only from a server that has said that nothing was run.
class answer_route {
public:
    answer_route(owner_link&, shared_retry_budget&, request_submission prototype, std::vector<known_server> rank, bool isRepeatable, rank_order order = rank_order::AsRanked);

    /// Hands the request to the first server that takes it. Returns the reason when none does.
    std::optional<refusal> start();

    /// Reads on; as long as no byte was given out, a failed server is followed by the next.
    answer_part read(std::uint64_t offset, std::chrono::milliseconds wait);

    void cancel();

    /// The server that has the request; valid after start.
    const server_id& server() const { return m_rank[m_step.server].id; }

private:
    answer_part readOnce(std::uint64_t offset, std::chrono::milliseconds wait);
    std::optional<refusal> walkOn(refusal last);
    std::optional<refusal> endWalk(refusal last) const;
    bool mayMoveOn(const refusal&);
    std::optional<placement_attempt> nextStep();
    bool beginSecondRound();
    int witnessedBeside(const server_id&) const;
    std::optional<refusal> submitTo(const placement_attempt&);
    std::optional<refusal> offer(const known_server&);

    owner_link& m_link;
    shared_retry_budget& m_retries;
    request_submission m_submission;
    std::vector<known_server> m_rank;
    std::optional<probe_sequence> m_walk; ///< Only for HeldFirst.
    std::uint32_t m_next = 0; ///< Place in rank of the next server to try, without a walk.
    placement_attempt m_step; ///< The last one.
    std::unordered_map<server_id, int> m_witnessed; ///< What servers that refused for their share run.
    bool m_isSecondRound = false;
    std::string m_peer;
    std::string m_streamId;
    time_point m_deadline;
    bool m_isRepeatable;
    bool m_hasGivenOut = false;
    bool m_hasRetried = false; ///< A server may have failed under it already.
};

} // namespace radishflow
