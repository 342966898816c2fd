// Declares owner_client, which connects a receiving daemon to the owner of a server: itself or a peer.
#pragma once

#include "radishflow/Daemon/request_runner.h"
#include "radishflow/Peer/peer_client.h"
#include "radishflow/Support/result.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace radishflow {

/// Calls the local runner directly and other daemons over Thrift. Thread-safe.
class owner_client {
public:
    owner_client(request_runner& runner, peer_client& peers, std::string ownPeer)
        : m_runner(runner)
        , m_peers(peers)
        , m_ownPeer(std::move(ownPeer))
    {
    }

    /// Fails with Unreachable when nothing was sent, and with ReplyLost when the request may run.
    result<submit_outcome> submit(const std::string& peer, const request_submission&);
    result<answer_part> read(const std::string& peer, const std::string& streamId, std::uint64_t offset, std::chrono::milliseconds wait);
    void cancel(const std::string& peer, const std::string& streamId);

private:
    request_runner& m_runner;
    peer_client& m_peers;
    std::string m_ownPeer;
};

} // namespace radishflow
