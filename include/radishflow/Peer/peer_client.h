// Declares peer_client, the caller's side of the Thrift calls between daemons.
#pragma once

#include "radishflow/Admission/crash_record.h"
#include "radishflow/Peer/peer_configuration.h"
#include "radishflow/Requests/answer_part.h"
#include "radishflow/Requests/request_submission.h"
#include "radishflow/Requests/submit_outcome.h"
#include "radishflow/Support/result.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace radishflow {

/// Options of calls to peers.
struct peer_client_options {
    std::chrono::milliseconds connectTimeout { 300 };
    std::chrono::milliseconds replyTimeout { 3000 }; ///< Beyond the wait that the call itself asks for.
    std::size_t idleConnectionsPerPeer = 64;
};

/// Calls peers by "IP:port" over kept connections. Thread-safe; rank Connections, not held while waiting.
///
/// Failures: Unreachable when nothing was sent; ReplyLost when the call may have taken effect.
class peer_client {
public:
    explicit peer_client(const peer_client_options&);
    ~peer_client();
    peer_client(const peer_client&) = delete;
    peer_client& operator=(const peer_client&) = delete;

    result<submit_outcome> submit(const std::string& peer, const request_submission&);
    result<answer_part> read(const std::string& peer, const std::string& streamId, std::uint64_t offset, std::chrono::milliseconds wait, std::size_t most);
    result<void> cancel(const std::string& peer, const std::string& streamId);
    result<void> learnCrashes(const std::string& peer, const std::vector<crash_record>&);
    result<peer_configuration> configuration(const std::string& peer, config_version above);

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace radishflow
