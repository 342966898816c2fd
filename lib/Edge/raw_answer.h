// Declares the answers that are sent where no request could be read.
#pragma once

#include "radishflow/Requests/refusal.h"

#include <string>

namespace Poco::Net {
class StreamSocket;
}

namespace radishflow {

/// Returns a whole HTTP answer with problem details that closes its connection.
std::string rawAnswer(const refusal&);

/// Whether the caller has ended its sending side and everything it sent has been read. Doesn't wait.
bool hasEnded(const Poco::Net::StreamSocket&);

/// Ends the sending side and drops what still arrives, so that a reset doesn't take the answer from the caller.
void closeGently(Poco::Net::StreamSocket&);

} // namespace radishflow
