// Implements crash_quarantine with the quarantine of the admission library.
#include "radishflow/Relay/crash_quarantine.h"

#include <spdlog/fmt/ranges.h>
#include <spdlog/spdlog.h>

#include <map>
#include <mutex>
#include <string>
#include <utility>

namespace radishflow {

// A request that crashes servers is never served, so a request that was served this recently only ran beside one.
static constexpr std::chrono::seconds servedTime { 60 };
static constexpr std::size_t maxServed = 4096;

crash_quarantine::crash_quarantine()
    : m_quarantine(m_clock, { .retention = retention })
    , m_served(servedTime, maxServed)
{
}

static void logCrash(const char* event, const request_fingerprint& request, const server_id& server)
{
    spdlog::warn("event={} fingerprint={} server={}", event, toHex(request), server.value());
}

// The service is left out, so that a request stays quarantined when its route moves to another service.
request_fingerprint crash_quarantine::fingerprint(const workspace_id& workspace, std::string_view target, std::string_view body)
{
    std::string content { target };
    content.append(1, '\n').append(body);
    return fingerprintOf(workspace, service_id {}, content);
}

void crash_quarantine::recordServed(const request_identity& request)
{
    const std::lock_guard lock { m_mutex };
    if (request.variant)
        m_served.set(*request.variant, true, m_clock.now());
    m_parts.recordServed(request.sharedParts);
}

// A server that has restarted under its former id is another process, whose crash counts again.
void crash_quarantine::addCrash(const request_identity& request, const listed_server& server)
{
    const server_id process { server.id.value() + '@' + std::to_string(server.processStartMs) };
    m_parts.recordCrash(process, server.zone, request.sharedParts);
    if (request.variant && m_served.find(*request.variant, m_clock.now())) {
        logCrash("crash_ignored", request.content, process);
        return;
    }
    logCrash("crash_recorded", request.content, process);
    m_quarantine.recordCrash(process, { request.content });
}

void crash_quarantine::recordCrash(const request_identity& request, const listed_server& server)
{
    {
        const std::lock_guard lock { m_mutex };
        addCrash(request, server);
    }
    recordCrash(server);
}

void crash_quarantine::recordCrash(const listed_server& server)
{
    const std::lock_guard lock { m_mutex };
    for (const abandoned_attempt& attempt : m_abandoned.takeAttemptsAt(server))
        addCrash(attempt.request, attempt.server);
}

void crash_quarantine::recordAbandoned(const request_identity& request, const listed_server& server)
{
    const std::lock_guard lock { m_mutex };
    m_abandoned.add(server, request);
}

bool crash_quarantine::hasAbandonedAt(const listed_server& server) const
{
    const std::lock_guard lock { m_mutex };
    return m_abandoned.hasAttemptsAt(server);
}

void crash_quarantine::applyServerList(const std::shared_ptr<const server_list>& list)
{
    const std::lock_guard lock { m_mutex };
    if (std::exchange(m_servers, list) != list) {
        std::map<zone_id, std::size_t> zoneSizes;
        for (const auto& [id, server] : list->servers)
            ++zoneSizes[server.zone];
        m_parts.updateZoneSizes(zoneSizes);
    }
    for (const abandoned_attempt& attempt : m_abandoned.takeCrashed(*list))
        addCrash(attempt.request, attempt.server);
}

std::optional<duration> crash_quarantine::remainingQuarantine(const request_identity& request) const
{
    const std::lock_guard lock { m_mutex };
    if (m_quarantine.stateOf(request.content) != quarantine_state::Quarantined || (request.variant && m_served.find(*request.variant, m_clock.now())))
        return std::nullopt;
    return m_quarantine.remaining(request.content);
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
    const std::lock_guard lock { m_mutex };
    std::vector<crash_record> own = m_quarantine.takeNewRecords();
    m_quarantine.merge(records);
    for (const crash_record& record : m_quarantine.takeNewRecords())
        logCrash("crash_learned", record.fingerprint, record.server);
    m_pendingRecords.insert(m_pendingRecords.end(), own.begin(), own.end());
}

bool crash_quarantine::hasSuspectParts(const request_identity& request) const
{
    const std::lock_guard lock { m_mutex };
    return m_parts.hasSuspect(request.sharedParts);
}

bool crash_quarantine::isSuspect(const request_identity& request) const
{
    const std::lock_guard lock { m_mutex };
    return m_quarantine.stateOf(request.content) == quarantine_state::Suspect || m_parts.hasSuspect(request.sharedParts);
}

bool crash_quarantine::hasQuarantinedParts(const request_identity& request) const
{
    const std::lock_guard lock { m_mutex };
    const bool isQuarantined = m_parts.isQuarantined(request.sharedParts);
    logPartChanges();
    return isQuarantined;
}

void crash_quarantine::logPartChanges() const
{
    const auto& quarantined = m_parts.quarantined();
    if (quarantined == m_loggedParts)
        return;
    m_loggedParts = quarantined;
    if (quarantined.empty())
        spdlog::info("event=parts_released");
    for (const quarantined_parts& group : quarantined)
        spdlog::warn("event=parts_quarantined parts=\"{:x}\" crashes={}", fmt::join(group.parts, " "), group.crashes);
}

std::vector<part_evidence> crash_quarantine::takeNewPartEvidence()
{
    const std::lock_guard lock { m_mutex };
    return m_parts.takeNewEvidence();
}

void crash_quarantine::mergeParts(const std::vector<part_evidence>& received)
{
    const std::lock_guard lock { m_mutex };
    m_parts.merge(received);
}

part_table_changes crash_quarantine::takePartTableChanges()
{
    const std::lock_guard lock { m_mutex };
    return m_parts.takeTableChanges();
}

void crash_quarantine::addPartRows(const std::vector<part_evidence>& rows)
{
    const std::lock_guard lock { m_mutex };
    m_parts.mergeTable(rows);
}

void crash_quarantine::removePartRows(const std::vector<part_evidence>& rows)
{
    const std::lock_guard lock { m_mutex };
    m_parts.removeFromTable(rows);
}

} // namespace radishflow
