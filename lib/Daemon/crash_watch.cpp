// Implements the shared quarantine.
#include "radishflow/Daemon/crash_watch.h"

#include <string>

namespace radishflow {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

static constexpr std::size_t mostCleared = 4096;

static request_fingerprint fingerprintOf(const request_submission& submission)
{
    return { .high = submission.fingerprint, .low = submission.fingerprintLow };
}

std::optional<refusal> crash_watch::admit(const request_submission& submission)
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

void crash_watch::ended(const request_submission& submission, bool isWhole)
{
    const request_fingerprint fingerprint = fingerprintOf(submission);
    const std::lock_guard lock { m_mutex };
    const auto suspect = m_suspects.find(submission.server);
    if (suspect == m_suspects.end() || suspect->second != fingerprint)
        return;
    m_suspects.erase(suspect);
    if (!isWhole)
        return;
    if (m_cleared.size() >= mostCleared)
        m_cleared.clear();
    m_cleared.insert(fingerprint);
}

// A server that a request brings down twice was two processes, and both count.
std::vector<crash_record> crash_watch::crashed(const request_submission& submission, double processStart)
{
    const server_id process { submission.server.value() + '@' + std::to_string(processStart) };
    const std::lock_guard lock { m_mutex };
    m_cleared.erase(fingerprintOf(submission));
    m_quarantine.recordCrash(process, { fingerprintOf(submission) });
    return m_quarantine.takeNewRecords();
}

void crash_watch::merge(const std::vector<crash_record>& records)
{
    const std::lock_guard lock { m_mutex };
    m_quarantine.merge(records);
    // Whoever saw the crash tells every daemon, so what was merged is not passed on.
    m_quarantine.takeNewRecords();
}

std::size_t crash_watch::size() const
{
    const std::lock_guard lock { m_mutex };
    return m_quarantine.size();
}

} // namespace radishflow
