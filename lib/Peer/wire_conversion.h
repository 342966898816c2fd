// Declares the conversions between Thrift messages and the types of the libraries.
#pragma once

#include "radishflow/Admission/crash_record.h"
#include "radishflow/Requests/answer_part.h"
#include "radishflow/Requests/request_submission.h"
#include "radishflow/Requests/submit_outcome.h"

#include "peer_types.h"

#include <vector>

namespace radishflow {

wire::Refusal toWire(const refusal&);
refusal fromWire(const wire::Refusal&);
wire::SubmitRequest toWire(const request_submission&);
request_submission fromWire(const wire::SubmitRequest&);
wire::SubmitReply toWire(const submit_outcome&);
submit_outcome fromWire(const wire::SubmitReply&);
wire::ReadReply toWire(const answer_part&);
answer_part fromWire(const wire::ReadReply&);
std::vector<wire::CrashRecord> toWire(const std::vector<crash_record>&);
std::vector<crash_record> fromWire(const std::vector<wire::CrashRecord>&);

} // namespace radishflow
