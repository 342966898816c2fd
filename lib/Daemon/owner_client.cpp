// Implements the calls from a receiving daemon to the owner of a server.
#include "radishflow/Daemon/owner_client.h"

namespace radishflow {

static constexpr std::size_t maxPartBytes = 64 * 1024;

result<submit_outcome> owner_client::submit(const std::string& peer, const request_submission& submission)
{
    if (peer == m_ownPeer)
        return m_runner.submit(submission);
    return m_peers.submit(peer, submission);
}

result<answer_part> owner_client::read(const std::string& peer, const std::string& streamId, std::uint64_t offset, std::chrono::milliseconds wait)
{
    if (peer == m_ownPeer)
        return m_runner.read(streamId, offset, wait, maxPartBytes);
    return m_peers.read(peer, streamId, offset, wait, maxPartBytes);
}

// A lost cancellation occupies a slot until the owner's time limit for unread responses.
void owner_client::cancel(const std::string& peer, const std::string& streamId)
{
    if (peer == m_ownPeer) {
        m_runner.cancel(streamId);
        return;
    }
    valueOr(
        [&]() -> result<bool> {
            BOOST_LEAF_CHECK(m_peers.cancel(peer, streamId));
            return true;
        },
        [](const failure&) { return false; });
}

} // namespace radishflow
