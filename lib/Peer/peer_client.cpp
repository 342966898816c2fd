// Implements the caller's side of the calls between daemons.
#include "radishflow/Peer/peer_client.h"

#include "radishflow/Support/ranked_mutex.h"

#include "peer_connection.h"
#include "wire_conversion.h"

#include <thrift/Thrift.h>

#include <map>
#include <mutex>
#include <utility>
#include <vector>

namespace radishflow {

struct peer_client::state {
    peer_client_options options;
    ranked_mutex mutex { lock_rank::Connections };
    std::map<std::string, std::vector<std::unique_ptr<peer_connection>>> idle;

    std::unique_ptr<peer_connection> takeIdle(const std::string& peer)
    {
        const std::lock_guard lock { mutex };
        auto& connections = idle[peer];
        while (!connections.empty()) {
            std::unique_ptr<peer_connection> connection = std::move(connections.back());
            connections.pop_back();
            if (!connection->isStale())
                return connection;
        }
        return nullptr;
    }

    void giveBack(const std::string& peer, std::unique_ptr<peer_connection> connection)
    {
        const std::lock_guard lock { mutex };
        auto& connections = idle[peer];
        if (connections.size() < options.idleConnectionsPerPeer)
            connections.push_back(std::move(connection));
    }

    // Runs call(client) on a connection; a connection on which a call failed is never used again.
    template <typename Call>
    result<std::invoke_result_t<Call, wire::PeerClient&>> invoke(const std::string& peer, const char* step, std::chrono::milliseconds wait, Call&& call)
    {
        std::unique_ptr<peer_connection> connection = takeIdle(peer);
        if (!connection) {
            try {
                connection = std::make_unique<peer_connection>(peer, options.connectTimeout);
            } catch (const apache::thrift::TException& error) {
                return fail({ .code = failure_code::Unreachable, .step = step, .peer = peer, .detail = error.what() });
            }
        }
        try {
            connection->setReplyTimeout(wait + options.replyTimeout);
            auto value = call(connection->client());
            giveBack(peer, std::move(connection));
            return value;
        } catch (const apache::thrift::TException& error) {
            return fail({ .code = failure_code::ReplyLost, .step = step, .peer = peer, .detail = error.what() });
        }
    }
};

peer_client::peer_client(const peer_client_options& options)
    : m_state(std::make_unique<state>())
{
    m_state->options = options;
}

peer_client::~peer_client() = default;

result<submit_outcome> peer_client::submit(const std::string& peer, const request_submission& submission)
{
    return m_state->invoke(peer, "submit request", std::chrono::milliseconds { 0 }, [&](wire::PeerClient& client) {
        wire::SubmitReply reply;
        client.submit(reply, toWire(submission));
        return fromWire(reply);
    });
}

result<answer_part> peer_client::read(const std::string& peer, const std::string& streamId, std::uint64_t offset, std::chrono::milliseconds wait, std::size_t most)
{
    return m_state->invoke(peer, "read answer", wait, [&](wire::PeerClient& client) {
        wire::ReadReply reply;
        client.read(reply, streamId, static_cast<std::int64_t>(offset), static_cast<std::int32_t>(wait.count()), static_cast<std::int32_t>(most));
        return fromWire(reply);
    });
}

result<void> peer_client::cancel(const std::string& peer, const std::string& streamId)
{
    BOOST_LEAF_CHECK(m_state->invoke(peer, "cancel request", std::chrono::milliseconds { 0 }, [&](wire::PeerClient& client) {
        client.cancel(streamId);
        return true;
    }));
    return {};
}

result<void> peer_client::learnCrashes(const std::string& peer, const std::vector<crash_record>& records)
{
    BOOST_LEAF_CHECK(m_state->invoke(peer, "spread crashes", std::chrono::milliseconds { 0 }, [&](wire::PeerClient& client) {
        client.learnCrashes(toWire(records));
        return true;
    }));
    return {};
}

result<peer_configuration> peer_client::configuration(const std::string& peer, config_version above)
{
    return m_state->invoke(peer, "read configuration", std::chrono::milliseconds { 0 }, [&](wire::PeerClient& client) {
        wire::Configuration reply;
        client.configuration(reply, static_cast<std::int64_t>(above.value()));
        return peer_configuration { .version = config_version { static_cast<std::uint64_t>(reply.version) }, .objectKey = reply.objectKey, .objects = reply.objects };
    });
}

} // namespace radishflow
