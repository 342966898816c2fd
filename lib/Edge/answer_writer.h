// Declares the sending of an answer to a caller.
#pragma once

#include "radishflow/Edge/caller_answer.h"
#include "radishflow/Edge/document.h"

#include "connection_watch.h"

#include <chrono>

namespace Poco::Net {
class HTTPServerRequestImpl;
class HTTPServerResponse;
}

namespace radishflow {

/// Sends problem details with Retry-After.
void sendRefusal(Poco::Net::HTTPServerResponse&, const refusal&, const request_id&);

void sendDocument(Poco::Net::HTTPServerResponse&, const document&);

/// How long a caller may take for each part of its answer.
struct send_limit {
    connection_watch::entry& watched;
    std::chrono::milliseconds bound;
};

/// Sends an answer as it arrives. A broken one is cut off visibly: no terminating chunk follows.
void sendAnswer(Poco::Net::HTTPServerRequestImpl&, Poco::Net::HTTPServerResponse&, caller_answer&, const send_limit&);

} // namespace radishflow
