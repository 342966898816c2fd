// Implements the shared quarantine.
#include "radishflow/Daemon/crash_quarantine.h"

#include <string>

namespace radishflow {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

static constexpr std::size_t maxCleared = 4096;

static request_fingerprint fingerprintOf(const request_submission& submission)
{
    return { .high = submission.fingerprint, .low = submission.fingerprintLow };
}

std::optional<refusal> crash_quarantine::admit(const request_submission& submission)
{
    const request_fingerprint fingerprint = fingerprintOf(submission);
    const std::lock_guard lock { m_mutex };
    const quarantine_state state = m_quarantine.stateOf(fingerprint);
    if (state == quarantine_state::Quarantined) {
        return refusal {
            .status = 422,
            .title = "Request quarantined",
            .detail = "two backend servers crashed while they ran this request",
            .retryAfter = duration_cast<milliseconds>(m_quarantine.remaining(fingerprint)),
        };
    }
    if (state == quarantine_state::Clear || m_cleared.contains(fingerprint))
        return std::nullopt;
    if (!m_suspects.try_emplace(submission.server, fingerprint).second) {
        return refusal {
            .status = 503,
            .title = "Another suspect runs",
            .detail = "a backend server crashed while it ran this request; it waits for its turn at " + submission.server.value(),
            .retryAfter = milliseconds { 1000 },
            .tryNextServer = true,
        };
    }
    return std::nullopt;
}

void crash_quarantine::recordEnd(const request_submission& submission, bool isWhole)
{
    const request_fingerprint fingerprint = fingerprintOf(submission);
    const std::lock_guard lock { m_mutex };
    const auto suspect = m_suspects.find(submission.server);
    if (suspect == m_suspects.end() || suspect->second != fingerprint)
        return;
    m_suspects.erase(suspect);
    if (!isWhole)
        return;
    if (m_cleared.size() >= maxCleared)
        m_cleared.clear();
    m_cleared.insert(fingerprint);
}

// A server that crashes and restarts counts as two processes, so two crashes of one server suffice for quarantine.
std::vector<crash_record> crash_quarantine::recordCrash(const request_submission& submission, double processStart)
{
    const server_id process { submission.server.value() + '@' + std::to_string(processStart) };
    const std::lock_guard lock { m_mutex };
    m_cleared.erase(fingerprintOf(submission));
    m_quarantine.recordCrash(process, { fingerprintOf(submission) });
    return m_quarantine.takeNewRecords();
}

void crash_quarantine::merge(const std::vector<crash_record>& records)
{
    const std::lock_guard lock { m_mutex };
    m_quarantine.merge(records);
    // The daemon that saw the crash publishes it to every daemon, so merged records are not published again.
    m_quarantine.takeNewRecords();
}

std::size_t crash_quarantine::size() const
{
    const std::lock_guard lock { m_mutex };
    return m_quarantine.size();
}

} // namespace radishflow
