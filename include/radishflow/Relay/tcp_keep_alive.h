// Declares the TCP keep-alive settings that detect a peer whose host failed without closing the connection.
#pragma once

#include <Poco/Net/StreamSocket.h>

namespace radishflow {

/// Makes the connection fail within a few seconds after the peer's host stops acknowledging, even if it is idle.
void enableKeepAlive(Poco::Net::StreamSocket&);

} // namespace radishflow
