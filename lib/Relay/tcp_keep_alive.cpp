// Implements the TCP keep-alive settings.
#include "radishflow/Relay/tcp_keep_alive.h"

#include <netinet/in.h>
#include <netinet/tcp.h>

namespace radishflow {

static constexpr int probeAfterSeconds = 1; // Idle time before the first probe; the minimum that the kernel accepts.
static constexpr int probeIntervalSeconds = 1;
// The connection fails when data or probes stay unacknowledged for this time, since a host that lost power does not even
// send a reset. The value leaves time for the kernel's first two retransmissions.
static constexpr int unacknowledgedLimitMs = 1500;

void enableKeepAlive(Poco::Net::StreamSocket& socket)
{
    socket.setKeepAlive(true);
    socket.setOption(IPPROTO_TCP, TCP_KEEPIDLE, probeAfterSeconds);
    socket.setOption(IPPROTO_TCP, TCP_KEEPINTVL, probeIntervalSeconds);
    socket.setOption(IPPROTO_TCP, TCP_USER_TIMEOUT, unacknowledgedLimitMs);
}

} // namespace radishflow
