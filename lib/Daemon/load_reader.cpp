// Implements the reading of engines' load reports and cache events.
#include "radishflow/Daemon/load_reader.h"

#include "radishflow/Daemon/cache_event_page.h"
#include "radishflow/Support/boottime_clock.h"

#include <spdlog/spdlog.h>

#include <charconv>
#include <sstream>
#include <string_view>

namespace radishflow {

static double numberAfter(std::string_view text)
{
    while (text.starts_with(' '))
        text.remove_prefix(1);
    double value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

static void readOrigin(std::string_view rest, engine_report& report)
{
    std::uint64_t term = 0;
    std::from_chars(rest.data(), rest.data() + rest.size(), term);
    const std::size_t end = rest.find('}');
    if (end != std::string_view::npos)
        report.runningByOrigin[term_number { term }] += static_cast<int>(numberAfter(rest.substr(end + 1)));
}

engine_report parseEngineReport(const std::string& text)
{
    static constexpr std::string_view running = "engine_requests_running ";
    static constexpr std::string_view waiting = "engine_requests_waiting ";
    static constexpr std::string_view byOrigin = "engine_requests_running_by_origin{origin=\"";
    static constexpr std::string_view completed = "engine_requests_completed_total ";
    static constexpr std::string_view startTime = "process_start_time_seconds ";
    engine_report report;
    std::istringstream lines { text };
    std::string line;
    while (std::getline(lines, line)) {
        const std::string_view view { line };
        if (view.starts_with(running)) {
            report.hasLoad = true;
            report.running += static_cast<int>(numberAfter(view.substr(running.size())));
        } else if (view.starts_with(waiting)) {
            report.running += static_cast<int>(numberAfter(view.substr(waiting.size())));
        } else if (view.starts_with(byOrigin)) {
            readOrigin(view.substr(byOrigin.size()), report);
        } else if (view.starts_with("# TYPE engine_requests_running_by_origin")) {
            report.hasOrigins = true;
        } else if (view.starts_with(completed)) {
            report.completed = static_cast<std::uint64_t>(numberAfter(view.substr(completed.size())));
        } else if (view.starts_with(startTime)) {
            report.startTime = numberAfter(view.substr(startTime.size()));
        }
    }
    return report;
}

double startTimeOf(const std::string& text)
{
    return parseEngineReport(text).startTime;
}

void load_reader::readServer(const server_id& server)
{
    const time_point requestedAt = boottime_clock {}.now();
    const std::optional<engine_report> report = valueOr(
        [&]() -> result<std::optional<engine_report>> {
            BOOST_LEAF_AUTO(text, m_client.readMetrics(server));
            return std::optional { parseEngineReport(text) };
        },
        [](const failure& error) -> std::optional<engine_report> {
            spdlog::debug("step=\"{}\" peer={} error=\"{}\"", error.step, error.peer, describe(error));
            return std::nullopt;
        });
    if (!report)
        return;
    if (report->startTime > 0)
        m_crashes.recordProcessStart(server, report->startTime);
    m_admission.observe(server, { .processStart = report->startTime > 0 ? std::optional { report->startTime } : std::nullopt, .completed = report->completed });
    if (!report->hasLoad)
        return;
    m_ownership.acceptReport(server, { .takenAfter = requestedAt - m_reportLag, .running = report->running, .hasOrigins = report->hasOrigins, .runningByOrigin = report->runningByOrigin });
    if (report->startTime > 0)
        m_prefixes.recordProcessStart(server, report->startTime);
    readCacheEvents(server);
}

// Only engines report a load and have cache events. An engine is queried for events only after it has just responded.
void load_reader::readCacheEvents(const server_id& server)
{
    const std::string path = "/kv/events?since=" + std::to_string(m_prefixes.nextEvent(server));
    const auto page = valueOr(
        [&]() -> result<std::optional<cache_event_page>> {
            BOOST_LEAF_AUTO(text, m_client.readPage(server, path));
            return parseCacheEvents(text);
        },
        [](const failure& error) -> std::optional<cache_event_page> {
            spdlog::debug("step=\"{}\" peer={} error=\"{}\"", error.step, error.peer, describe(error));
            return std::nullopt;
        });
    if (page)
        m_prefixes.apply(server, page->events, page->next);
}

void load_reader::readAll()
{
    const std::vector<server_id> owned = m_ownership.ownedServers();
    m_prefixes.retainOnly(owned);
    for (const server_id& server : owned)
        readServer(server);
}

} // namespace radishflow
