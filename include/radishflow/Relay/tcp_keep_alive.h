// Declares the limits on the silence of peers, and the TCP settings that apply them.
#pragma once

#include <Poco/Net/StreamSocket.h>

#include <chrono>

namespace radishflow {

// A connection fails if its peer acknowledges neither data nor keep-alive probes for the given time, or keeps its receive window closed for as
// long. The kernel cannot distinguish a host without power from a sound process that is stopped, or whose path drops segments for a moment.

/// Of a server whose request can go on at another one; longer than the silence of about 1 s that the platform expects of sound servers.
inline constexpr std::chrono::milliseconds maxSilenceIfRepeatable { 2500 };
/// Of a server whose request cannot be sent again; longer than the kernel's fifth retransmission takes, which follows a silence of 3 s.
inline constexpr std::chrono::milliseconds maxSilenceIfNotRepeatable { 7000 };
/// Of a caller, or a daemon that forwards a caller's request.
inline constexpr std::chrono::milliseconds maxCallerSilence { 10000 };
/// Of the platform's store, whose calls are repeated.
inline constexpr std::chrono::milliseconds maxStoreSilence { 1500 };

/// Makes the connection fail if the peer is silent for longer, even if the connection is idle.
void enableKeepAlive(Poco::Net::StreamSocket&, std::chrono::milliseconds maxSilence);
/// Changes the limit of a connection with keep-alive.
void setMaxSilence(Poco::Net::StreamSocket&, std::chrono::milliseconds maxSilence);

} // namespace radishflow
