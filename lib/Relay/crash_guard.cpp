// Implements the guard on the quarantine of the admission library.
#include "radishflow/Relay/crash_guard.h"

#include <chrono>
#include <mutex>
#include <string>

namespace radishflow {

// A caller comes again within seconds; a request that was refused for longer without being at fault would be missed.
static constexpr std::chrono::seconds quarantineLength { 20 };

crash_guard::crash_guard()
    : m_quarantine(m_clock, { .retention = quarantineLength })
{
}

std::optional<request_fingerprint> crash_guard::fingerprint(const workspace_id& workspace, const service_id& service, std::string_view target, std::string_view body)
{
    if (body.empty())
        return std::nullopt;
    std::string content { target };
    content.append(1, '\n').append(body);
    return fingerprintOf(workspace, service, content);
}

void crash_guard::noteBroken(const request_fingerprint& request, const server_id& server)
{
    const std::lock_guard lock { m_mutex };
    m_quarantine.recordCrash(server, { request });
}

std::optional<duration> crash_guard::quarantinedFor(const request_fingerprint& request) const
{
    const std::lock_guard lock { m_mutex };
    if (m_quarantine.stateOf(request) != quarantine_state::Quarantined)
        return std::nullopt;
    return m_quarantine.remaining(request);
}

std::vector<crash_record> crash_guard::takeNews()
{
    const std::lock_guard lock { m_mutex };
    std::vector<crash_record> news = m_quarantine.takeNewRecords();
    news.insert(news.end(), m_unspread.begin(), m_unspread.end());
    m_unspread.clear();
    return news;
}

// What other daemons tell goes no further: each tells all.
void crash_guard::merge(const std::vector<crash_record>& records)
{
    const std::lock_guard lock { m_mutex };
    std::vector<crash_record> own = m_quarantine.takeNewRecords();
    m_quarantine.merge(records);
    m_quarantine.takeNewRecords();
    m_unspread.insert(m_unspread.end(), own.begin(), own.end());
}

} // namespace radishflow
