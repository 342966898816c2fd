// Implements the probes on TCP's keep-alive.
#include "radishflow/Relay/tcp_keep_alive.h"

#include <netinet/in.h>
#include <netinet/tcp.h>

namespace radishflow {

static constexpr int probeAfterSeconds = 1; // Of silence; the least that the kernel takes.
static constexpr int probeIntervalSeconds = 1;
// Bytes or probes that stay without acknowledgement for so long break the connection: a host that lost power answers
// nothing, not even a reset. Leaves room for the kernel's first two retransmissions.
static constexpr int unacknowledgedLimitMs = 1500;

void enableKeepAlive(Poco::Net::StreamSocket& socket)
{
    socket.setKeepAlive(true);
    socket.setOption(IPPROTO_TCP, TCP_KEEPIDLE, probeAfterSeconds);
    socket.setOption(IPPROTO_TCP, TCP_KEEPINTVL, probeIntervalSeconds);
    socket.setOption(IPPROTO_TCP, TCP_USER_TIMEOUT, unacknowledgedLimitMs);
}

} // namespace radishflow
