// Implements the limits on the silence of peers.
#include "radishflow/Relay/tcp_keep_alive.h"

#include <netinet/in.h>
#include <netinet/tcp.h>

namespace radishflow {

static constexpr int probeAfterSeconds = 1; // Idle time before the first probe; the minimum that the kernel accepts.
static constexpr int probeIntervalSeconds = 1;

void enableKeepAlive(Poco::Net::StreamSocket& socket, std::chrono::milliseconds maxSilence)
{
    socket.setKeepAlive(true);
    socket.setOption(IPPROTO_TCP, TCP_KEEPIDLE, probeAfterSeconds);
    socket.setOption(IPPROTO_TCP, TCP_KEEPINTVL, probeIntervalSeconds);
    setMaxSilence(socket, maxSilence);
}

// This option bounds data that is not acknowledged, probes of a closed receive window (also acknowledged ones) and keep-alive
// probes, whatever their number.
void setMaxSilence(Poco::Net::StreamSocket& socket, std::chrono::milliseconds maxSilence)
{
    socket.setOption(IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(maxSilence.count()));
}

} // namespace radishflow
