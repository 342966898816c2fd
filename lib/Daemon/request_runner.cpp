// Implements the execution of requests at the owner of a server.
#include "radishflow/Daemon/request_runner.h"

#include "radishflow/Placement/placement_request.h"
#include "radishflow/Support/boottime_clock.h"

#include <spdlog/spdlog.h>

#include <memory>

namespace radishflow {

static constexpr std::size_t answerBufferBytes = 64 * 1024;
static constexpr std::chrono::seconds unreadBound { 15 };

request_runner::request_runner(server_admission& admission, const backend_client& client, prefix_tracker& prefixes, int maxThreads)
    : m_admission(admission)
    , m_client(client)
    , m_prefixes(prefixes)
    , m_workers(maxThreads)
{
}

submit_outcome request_runner::submit(const request_submission& submission)
{
    const std::string& streamId = submission.attempt.value();
    auto answer = std::make_shared<answer_buffer>(answerBufferBytes);
    if (!m_streams.add(streamId, submission.request, answer, boottime_clock {}.now()))
        return { .refused = refusal { .status = 409, .title = "Attempt seen before", .detail = streamId, .execution = execution_state::Unknown } };
    if (std::optional<refusal> reason = m_admission.reserve(submission)) {
        m_streams.abandon(streamId);
        return { .refused = *std::move(reason) };
    }
    const bool isStarted = m_workers.tryStart([this, submission, answer] {
        runAdmitted(submission, *answer);
    });
    if (!isStarted) {
        m_admission.finish(submission, exchange_outcome {});
        m_streams.abandon(streamId);
        return { .refused = refusal { .status = 503, .title = "Daemon is full", .detail = "every worker is busy", .retryAfter = std::chrono::milliseconds { 500 }, .tryNextServer = true } };
    }
    return { .streamId = streamId };
}

// Copies a cached prefix from its holder instead of recomputing it. Without the copy the engine recomputes the
// prefix, so a failure only costs time.
void request_runner::copyPrefix(const request_submission& submission) const
{
    std::uint64_t prefix = 0;
    const bool isCopyUseful = !submission.holder.empty() && submission.holder != submission.server
        && parsePrefixName(submission.prefix, prefix) && !isProbablyHeld(m_prefixes.stateOf(submission.server, prefix, boottime_clock {}.now()));
    if (!isCopyUseful)
        return;
    const std::string error = valueOr(
        [&]() -> result<std::string> {
            BOOST_LEAF_CHECK(m_client.copyPrefix(submission.holder, submission.server, submission.prefix));
            return std::string {};
        },
        [](const failure& problem) { return describe(problem); });
    spdlog::debug("step=\"copy prefix\" request={} from={} peer={} error=\"{}\"", submission.request.value(), submission.holder.value(), submission.server.value(), error);
}

void request_runner::runAdmitted(const request_submission& submission, answer_buffer& answer)
{
    copyPrefix(submission);
    const exchange_outcome outcome = m_client.run(submission, m_admission.writeGateFor(submission), answer);
    std::uint64_t prefix = 0;
    if (outcome.isWhole && parsePrefixName(submission.prefix, prefix))
        m_prefixes.recordServed(submission.server, prefix, boottime_clock {}.now());
    m_admission.finish(submission, outcome);
}

answer_part request_runner::read(const std::string& streamId, std::uint64_t offset, std::chrono::milliseconds wait, std::size_t maxBytes)
{
    const std::shared_ptr<answer_buffer> answer = m_streams.find(streamId, boottime_clock {}.now());
    if (!answer)
        return { .offset = offset, .broken = true, .refused = refusal { .status = 502, .title = "Stream unknown", .detail = streamId, .execution = execution_state::Unknown } };
    return answer->read(offset, wait, maxBytes);
}

void request_runner::cancel(const std::string& streamId)
{
    m_streams.abandon(streamId);
}

void request_runner::sweep()
{
    m_streams.sweep(boottime_clock {}.now(), unreadBound);
}

} // namespace radishflow
