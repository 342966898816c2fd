// Implements crash_quarantine with the quarantine of the admission library.
#include "radishflow/Relay/crash_quarantine.h"

#include <spdlog/spdlog.h>

#include <chrono>
#include <mutex>
#include <string>

namespace radishflow {

// Callers retry within seconds. A longer quarantine would needlessly keep out requests that did not cause the crashes.
static constexpr std::chrono::seconds quarantineDuration { 20 };

crash_quarantine::crash_quarantine()
    : m_quarantine(m_clock, { .retention = quarantineDuration })
{
}

static void logCrash(const char* event, const request_fingerprint& request, const server_id& server)
{
    spdlog::warn("event={} fingerprint={:016x}{:016x} server={}", event, request.high, request.low, server.value());
}

std::optional<request_fingerprint> crash_quarantine::fingerprint(const workspace_id& workspace, const service_id& service, std::string_view target, std::string_view body)
{
    if (body.empty())
        return std::nullopt;
    std::string content { target };
    content.append(1, '\n').append(body);
    return fingerprintOf(workspace, service, content);
}

// A server that has restarted under its former id is another process, whose crash counts again.
void crash_quarantine::recordCrash(const request_fingerprint& request, const listed_server& server)
{
    const server_id process { server.id.value() + '@' + std::to_string(server.processStartMs) };
    logCrash("crash_recorded", request, process);
    const std::lock_guard lock { m_mutex };
    m_quarantine.recordCrash(process, { request });
}

std::optional<duration> crash_quarantine::remainingQuarantine(const request_fingerprint& request) const
{
    const std::lock_guard lock { m_mutex };
    if (m_quarantine.stateOf(request) != quarantine_state::Quarantined)
        return std::nullopt;
    return m_quarantine.remaining(request);
}

std::vector<crash_record> crash_quarantine::takeNewRecords()
{
    const std::lock_guard lock { m_mutex };
    std::vector<crash_record> records = m_quarantine.takeNewRecords();
    records.insert(records.end(), m_pendingRecords.begin(), m_pendingRecords.end());
    m_pendingRecords.clear();
    return records;
}

// Records received from other daemons are not sent on, because each daemon sends its own records to all others.
void crash_quarantine::merge(const std::vector<crash_record>& records)
{
    for (const crash_record& record : records)
        logCrash("crash_learned", record.fingerprint, record.server);
    const std::lock_guard lock { m_mutex };
    std::vector<crash_record> own = m_quarantine.takeNewRecords();
    m_quarantine.merge(records);
    m_quarantine.takeNewRecords();
    m_pendingRecords.insert(m_pendingRecords.end(), own.begin(), own.end());
}

} // namespace radishflow
