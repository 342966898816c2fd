// Declares the sending of an answer to a caller.
#pragma once

#include "radishflow/Edge/caller_answer.h"
#include "radishflow/Edge/document.h"

namespace Poco::Net {
class HTTPServerRequest;
class HTTPServerResponse;
}

namespace radishflow {

/// Sends problem details with Retry-After.
void sendRefusal(Poco::Net::HTTPServerResponse&, const refusal&, const request_id&);

void sendDocument(Poco::Net::HTTPServerResponse&, const document&);

/// Sends an answer as it arrives. A broken one is cut off visibly: no terminating chunk follows.
void sendAnswer(Poco::Net::HTTPServerRequest&, Poco::Net::HTTPServerResponse&, caller_answer&);

} // namespace radishflow
