// Implements the conversions between Thrift messages and the types of the libraries.
#include "wire_conversion.h"

#include <algorithm>
#include <cmath>

namespace radishflow {

static wire::Execution::type toWire(execution_state state)
{
    switch (state) {
    case execution_state::NotRun:
        return wire::Execution::NotRun;
    case execution_state::Done:
        return wire::Execution::Done;
    case execution_state::Unknown:
        break;
    }
    return wire::Execution::Unknown;
}

// A value that this version does not know is the one that promises least.
static execution_state fromWire(wire::Execution::type state)
{
    if (state == wire::Execution::NotRun)
        return execution_state::NotRun;
    return state == wire::Execution::Done ? execution_state::Done : execution_state::Unknown;
}

wire::Refusal toWire(const refusal& reason)
{
    wire::Refusal message;
    message.__set_status(reason.status);
    message.__set_title(reason.title);
    message.__set_detail(reason.detail);
    message.__set_execution(toWire(reason.execution));
    message.__set_retryAfterMs(static_cast<std::int32_t>(reason.retryAfter.count()));
    message.__set_runningThere(reason.runningThere);
    message.__set_tryNextServer(reason.tryNextServer);
    message.__set_hasRoom(reason.hasRoom);
    message.__set_load(reason.load);
    message.__set_isHeld(reason.isHeld);
    return message;
}

refusal fromWire(const wire::Refusal& message)
{
    return {
        .status = message.status,
        .title = message.title,
        .detail = message.detail,
        .execution = fromWire(message.execution),
        .retryAfter = std::chrono::milliseconds { std::max(0, message.retryAfterMs) },
        .runningThere = message.runningThere,
        .tryNextServer = message.tryNextServer,
        .hasRoom = message.hasRoom,
        .load = std::isfinite(message.load) ? message.load : 1,
        .isHeld = message.isHeld,
    };
}

wire::SubmitRequest toWire(const request_submission& submission)
{
    wire::SubmitRequest message;
    message.__set_requestId(submission.request.value());
    message.__set_attemptId(submission.attempt.value());
    message.__set_serviceId(submission.service.value());
    message.__set_serverId(submission.server.value());
    message.__set_workspaceId(submission.workspace.value());
    message.__set_chatId(submission.chat.value());
    message.__set_prefix(submission.prefix);
    message.__set_method(submission.method);
    message.__set_path(submission.path);
    message.__set_contentType(submission.contentType);
    message.__set_body(submission.body);
    message.__set_priority(submission.priority);
    message.__set_deadlineMs(static_cast<std::int32_t>(submission.timeLeft.count()));
    message.__set_idempotencyKey(submission.key.value());
    message.__set_isModelCall(submission.isModelCall);
    message.__set_onlyIfHeld(submission.onlyIfHeld);
    message.__set_holderId(submission.holder.value());
    message.__set_witnessedRunning(submission.witnessedRunning);
    message.__set_rank(static_cast<std::int32_t>(submission.rank));
    message.__set_fingerprintHigh(static_cast<std::int64_t>(submission.fingerprint));
    message.__set_fingerprintLow(static_cast<std::int64_t>(submission.fingerprintLow));
    message.__set_resumeAfter(static_cast<std::int64_t>(submission.resumeAfter));
    return message;
}

request_submission fromWire(const wire::SubmitRequest& message)
{
    return {
        .request = request_id { message.requestId },
        .attempt = attempt_id { message.attemptId },
        .service = service_id { message.serviceId },
        .server = server_id { message.serverId },
        .workspace = workspace_id { message.workspaceId },
        .chat = chat_id { message.chatId },
        .prefix = message.prefix,
        .method = message.method,
        .path = message.path,
        .contentType = message.contentType,
        .body = message.body,
        .priority = std::clamp(message.priority, 0, 7),
        .timeLeft = std::chrono::milliseconds { std::max(0, message.deadlineMs) },
        .key = idempotency_key { message.idempotencyKey },
        .isModelCall = message.isModelCall,
        .resumeAfter = static_cast<std::uint64_t>(std::max<std::int64_t>(0, message.resumeAfter)),
        .onlyIfHeld = message.onlyIfHeld,
        .holder = server_id { message.holderId },
        .witnessedRunning = std::max(0, message.witnessedRunning),
        .rank = static_cast<std::uint32_t>(std::max(0, message.rank)),
        .fingerprint = static_cast<std::uint64_t>(message.fingerprintHigh),
        .fingerprintLow = static_cast<std::uint64_t>(message.fingerprintLow),
    };
}

wire::SubmitReply toWire(const submit_outcome& outcome)
{
    wire::SubmitReply message;
    message.__set_accepted(outcome.isAccepted());
    message.__set_streamId(outcome.streamId);
    if (outcome.refused)
        message.__set_refusal(toWire(*outcome.refused));
    return message;
}

submit_outcome fromWire(const wire::SubmitReply& message)
{
    submit_outcome outcome { .streamId = message.streamId };
    if (message.__isset.refusal)
        outcome.refused = fromWire(message.refusal);
    else if (!message.accepted)
        outcome.refused = refusal { .title = "Refused without a reason", .execution = execution_state::Unknown };
    return outcome;
}

wire::ReadReply toWire(const answer_part& part)
{
    wire::ReadReply message;
    message.__set_data(part.data);
    message.__set_offset(static_cast<std::int64_t>(part.offset));
    message.__set_finished(part.finished);
    message.__set_broken(part.broken);
    message.__set_status(part.status);
    message.__set_contentType(part.contentType);
    if (part.refused)
        message.__set_refusal(toWire(*part.refused));
    return message;
}

answer_part fromWire(const wire::ReadReply& message)
{
    answer_part part {
        .data = message.data,
        .offset = static_cast<std::uint64_t>(message.offset),
        .finished = message.finished,
        .broken = message.broken,
        .status = message.status,
        .contentType = message.contentType,
    };
    if (message.__isset.refusal)
        part.refused = fromWire(message.refusal);
    return part;
}

std::vector<wire::CrashRecord> toWire(const std::vector<crash_record>& records)
{
    std::vector<wire::CrashRecord> messages;
    messages.reserve(records.size());
    for (const crash_record& record : records) {
        wire::CrashRecord message;
        message.__set_fingerprintHigh(static_cast<std::int64_t>(record.fingerprint.high));
        message.__set_fingerprintLow(static_cast<std::int64_t>(record.fingerprint.low));
        message.__set_serverId(record.server.value());
        message.__set_remainingMs(static_cast<std::int32_t>(std::chrono::duration_cast<std::chrono::milliseconds>(record.remaining).count()));
        messages.push_back(std::move(message));
    }
    return messages;
}

std::vector<crash_record> fromWire(const std::vector<wire::CrashRecord>& messages)
{
    std::vector<crash_record> records;
    records.reserve(messages.size());
    for (const wire::CrashRecord& message : messages) {
        records.push_back({
            .fingerprint = { .high = static_cast<std::uint64_t>(message.fingerprintHigh), .low = static_cast<std::uint64_t>(message.fingerprintLow) },
            .server = server_id { message.serverId },
            .remaining = std::chrono::milliseconds { std::max(0, message.remainingMs) },
        });
    }
    return records;
}

} // namespace radishflow
