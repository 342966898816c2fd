// Declares the conversions between Thrift messages and the types of the libraries.
#pragma once

#include "radishflow/Requests/answer_part.h"
#include "radishflow/Requests/request_submission.h"
#include "radishflow/Requests/submit_outcome.h"

#include "peer_types.h"

namespace radishflow {

wire::Refusal toWire(const refusal&);
refusal fromWire(const wire::Refusal&);
wire::SubmitRequest toWire(const request_submission&);
request_submission fromWire(const wire::SubmitRequest&);
wire::SubmitReply toWire(const submit_outcome&);
submit_outcome fromWire(const wire::SubmitReply&);
wire::ReadReply toWire(const answer_part&);
answer_part fromWire(const wire::ReadReply&);

} // namespace radishflow
