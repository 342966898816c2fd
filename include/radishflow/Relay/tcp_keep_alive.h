// Declares the probes that find a connection whose peer has gone without a word.
#pragma once

#include <Poco/Net/StreamSocket.h>

namespace radishflow {

/// Breaks the connection within a few seconds once the peer's host acknowledges nothing, also while it is idle.
void enableKeepAlive(Poco::Net::StreamSocket&);

} // namespace radishflow
