// Implements crash_quarantine with the quarantine of the admission library.
#include "radishflow/Relay/crash_quarantine.h"

#include <spdlog/fmt/ranges.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <map>
#include <mutex>
#include <string>
#include <utility>

namespace radishflow {

// A request that crashes servers is never served, so a request that was served this recently only ran beside one.
static constexpr std::chrono::seconds servedTime { 60 };
static constexpr std::size_t maxServed = 4096;

crash_quarantine::crash_quarantine(const planned_exits_options& options)
    : m_quarantine(m_clock, { .retention = retention })
    , m_exits(options)
    , m_served(servedTime, maxServed)
{
}

static void logCrash(const char* event, const request_fingerprint& request, const server_id& server, response_progress progress = response_progress::None)
{
    spdlog::warn("event={} fingerprint={} server={} had_progress={}", event, toHex(request), server.value(), progress == response_progress::Steady);
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

bool crash_quarantine::isPlannedExit(const server_id& process, process_end end, time_point endedBy) const
{
    if (!m_exits.explains(process, end, endedBy))
        return false;
    spdlog::info("event=planned_exit server={}", process.value());
    return true;
}

// A server that has restarted under its former id is another process, whose crash counts again. A prompt part crashes a server as it
// begins to write a response, so a server that has made progress on one did not crash because of its parts.
void crash_quarantine::addCrash(const abandoned_attempt& attempt, process_end end, time_point endedBy)
{
    const request_identity& request = attempt.request;
    const server_id process = processIdOf(attempt.server);
    if (isPlannedExit(process, end, endedBy))
        return;
    if (attempt.progress == response_progress::None)
        m_parts.recordCrash(process, attempt.server.zone, request.sharedParts);
    addRequestCrash(request, process, attempt.progress);
}

void crash_quarantine::addRequestCrash(const request_identity& request, const server_id& process, response_progress progress)
{
    if (request.variant && m_served.find(*request.variant, m_clock.now())) {
        logCrash("crash_ignored", request.content, process);
        return;
    }
    logCrash("crash_recorded", request.content, process, progress);
    m_quarantine.recordCrash(process, { request.content }, progress);
}

// Either the zone lost power or the request crashed its servers. Power is hardly lost twice while the same request runs there, so the first
// restart is recorded as weak evidence, once however many servers ran the request, and counts in full if the request was at an earlier crash.
void crash_quarantine::addZoneRestart(const abandoned_attempt& attempt)
{
    const auto age = m_quarantine.ageOfFirstCrash(attempt.request.content);
    if (!age)
        addRequestCrash(attempt.request, processIdOf(attempt.server), response_progress::Steady);
    else if (*age > abandoned_attempts<boottime_clock>::zoneRestartTime)
        addRequestCrash(attempt.request, processIdOf(attempt.server), attempt.progress);
}

void crash_quarantine::recordCrash(const request_identity& request, const listed_server& server, response_progress progress)
{
    {
        const std::lock_guard lock { m_mutex };
        addCrash({ .server = server, .request = request, .progress = progress }, process_end::Broken, m_clock.now());
    }
    recordCrash(server);
}

void crash_quarantine::recordCrash(const listed_server& server)
{
    const std::lock_guard lock { m_mutex };
    for (const abandoned_attempt& attempt : m_abandoned.takeAttemptsAt(server))
        addCrash(attempt, process_end::Broken, m_clock.now());
}

void crash_quarantine::recordAbandoned(const request_identity& request, const listed_server& server, response_progress progress)
{
    const std::lock_guard lock { m_mutex };
    m_abandoned.add(server, request, progress);
}

bool crash_quarantine::hasAbandonedAt(const listed_server& server) const
{
    const std::lock_guard lock { m_mutex };
    return m_abandoned.hasAttemptsAt(server);
}

void crash_quarantine::recordLeaving(const listed_server& server)
{
    const std::lock_guard lock { m_mutex };
    if (m_exits.recordLeaving(server, m_clock.now()))
        withdraw(processIdOf(server));
}

void crash_quarantine::withdraw(const server_id& process)
{
    const time_point from = m_exits.expectedFrom(process).value_or(time_point::max());
    const auto withdrawn = m_quarantine.withdraw(process, from);
    for (const crash_record& record : withdrawn)
        logCrash("crash_withdrawn", record.fingerprint, record.server);
    const auto isWithdrawn = [&](const crash_record& pending) { return std::any_of(withdrawn.begin(), withdrawn.end(), [&](const crash_record& record) { return record.fingerprint == pending.fingerprint && record.server == pending.server; }); };
    std::erase_if(m_pendingRecords, isWithdrawn);
    m_withdrawnRecords.insert(m_withdrawnRecords.end(), withdrawn.begin(), withdrawn.end());
    m_parts.withdraw(process, from);
}

std::vector<crash_record> crash_quarantine::takeWithdrawnRecords()
{
    const std::lock_guard lock { m_mutex };
    return std::exchange(m_withdrawnRecords, {});
}

void crash_quarantine::applyServerList(const std::shared_ptr<const server_list>& list, time_point confirmedAt)
{
    const std::lock_guard lock { m_mutex };
    for (const server_id& process : m_exits.applyList(list, m_clock.now(), confirmedAt))
        withdraw(process);
    if (std::exchange(m_servers, list) != list) {
        std::map<zone_id, std::size_t> zoneSizes;
        for (const auto& [id, server] : list->servers)
            ++zoneSizes[server.zone];
        m_parts.updateZoneSizes(zoneSizes);
    }
    const auto isPlanned = [this](const listed_server& server, time_point endedBy) { return isPlannedExit(processIdOf(server), process_end::Replaced, endedBy); };
    for (const abandoned_attempt& attempt : m_abandoned.takeCrashed(*list, isPlanned)) {
        if (attempt.hasZoneRestarted)
            addZoneRestart(attempt);
        else
            addCrash(attempt, process_end::Replaced, m_clock.now());
    }
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
    m_quarantine.updateRemaining(records);
    return records;
}

// Records received from other daemons are not sent on, because each daemon sends its own records to all others.
void crash_quarantine::merge(const std::vector<crash_record>& records)
{
    const std::lock_guard lock { m_mutex };
    const time_point now = m_clock.now();
    std::vector<crash_record> crashes = records;
    std::erase_if(crashes, [&](const crash_record& record) { return isPlannedExit(record.server, process_end::Broken, now - (retention - record.remaining)); });
    std::vector<crash_record> own = m_quarantine.takeNewRecords();
    m_quarantine.merge(crashes);
    for (const crash_record& record : m_quarantine.takeNewRecords())
        logCrash("crash_learned", record.fingerprint, record.server, record.progress);
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
    m_parts.merge(withoutPlannedExits(received));
}

std::vector<part_evidence> crash_quarantine::withoutPlannedExits(const std::vector<part_evidence>& evidence) const
{
    const time_point now = m_clock.now();
    std::vector<part_evidence> remaining = evidence;
    std::erase_if(remaining, [&](const part_evidence& each) { return each.isCrash() && isPlannedExit(each.process, process_end::Broken, now - each.age); });
    return remaining;
}

part_table_changes crash_quarantine::takePartTableChanges()
{
    const std::lock_guard lock { m_mutex };
    return m_parts.takeTableChanges();
}

void crash_quarantine::addPartRows(const std::vector<part_evidence>& rows)
{
    const std::lock_guard lock { m_mutex };
    m_parts.mergeTable(withoutPlannedExits(rows));
}

void crash_quarantine::removePartRows(const std::vector<part_evidence>& rows)
{
    const std::lock_guard lock { m_mutex };
    m_parts.removeFromTable(rows);
}

} // namespace radishflow
