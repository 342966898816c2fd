// Implements the admission of work to owned servers.
#include "radishflow/Daemon/server_gates.h"

#include "radishflow/Config/config_store.h"
#include "radishflow/Config/fleet_config.h"

#include <cassert>
#include <mutex>
#include <thread>

namespace radishflow {

static constexpr std::chrono::milliseconds fullServerRetry { 500 };
static constexpr std::chrono::milliseconds windowRetry { 1 };
static constexpr int windowTries = 200;

static refusal refuseServer(const request_submission& submission, const char* title)
{
    return { .status = 503, .title = title, .detail = "server " + submission.server.value(), .retryAfter = fullServerRetry, .tryNextServer = true };
}

std::optional<int> server_gates::limitOf(const request_submission& submission) const
{
    const auto snapshot = m_configuration.current();
    const service_settings* service = snapshot ? findService(snapshot->config, submission.service) : nullptr;
    return service ? std::optional { service->serverLimit } : std::nullopt;
}

std::optional<refusal> server_gates::reserve(const request_submission& submission)
{
    const std::optional<int> limit = limitOf(submission);
    if (!limit)
        return refuseServer(submission, "Service unknown to the owner");
    const std::lock_guard lock { m_mutex };
    int& running = m_running[submission.server];
    if (running >= *limit)
        return refuseServer(submission, "Server is full");
    ++running;
    return std::nullopt;
}

// The window between check and write is narrow on purpose; a burst waits here for the writes before it.
std::variant<term_number, refusal> server_gates::acquire(const request_submission& submission)
{
    const int limit = limitOf(submission).value_or(0);
    for (int attempt = 0; attempt < windowTries; ++attempt) {
        const permit granted = m_ownership.admit(submission.server, limit);
        if (granted.isGranted)
            return granted.term;
        if (granted.reason != refusal_reason::WindowFull)
            return refuseServer(submission, nameOf(granted.reason));
        std::this_thread::sleep_for(windowRetry);
    }
    return refuseServer(submission, nameOf(refusal_reason::WindowFull));
}

write_gate server_gates::gateFor(const request_submission& submission)
{
    return {
        .acquire = [this, &submission] { return acquire(submission); },
        .written = [this, &submission](term_number term) { m_ownership.started(submission.server, term); },
        .released = [this, &submission](term_number term) { m_ownership.finished(submission.server, term); },
    };
}

void server_gates::finish(const request_submission& submission, const exchange_outcome&)
{
    const std::lock_guard lock { m_mutex };
    int& running = m_running[submission.server];
    assert(running > 0 && "each reservation is finished once");
    --running;
}

std::unordered_map<server_id, int> server_gates::running() const
{
    const std::lock_guard lock { m_mutex };
    return m_running;
}

} // namespace radishflow
