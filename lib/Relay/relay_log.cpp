// Implements the structured log with spdlog's asynchronous logger.
#include "radishflow/Relay/relay_log.h"

#include "radishflow/Routing/sliding_window_count.h"
#include "radishflow/Support/boottime_clock.h"

#include <spdlog/async.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <atomic>
#include <chrono>
#include <future>
#include <iostream>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>

namespace radishflow {

static constexpr std::size_t maxQueuedLines = 256; // Each slot permanently occupies about 400 bytes.
static constexpr int maxServedLinesPerSecond = 40;
static constexpr std::chrono::milliseconds maxFlushTime { 300 };

namespace {

    // Limits the rate of the lines of served requests. Thread-safe.
    class served_line_limiter {
    public:
        // Returns how many lines were suppressed since the last one written, or -1 if this line must be suppressed too.
        int tryAcquire()
        {
            const std::lock_guard lock { m_mutex };
            const time_point now = boottime_clock {}.now();
            if (m_written.sum(now) >= maxServedLinesPerSecond) {
                ++m_suppressed;
                return -1;
            }
            m_written.add(now);
            return std::exchange(m_suppressed, 0);
        }

    private:
        std::mutex m_mutex;
        sliding_window_count<1> m_written;
        int m_suppressed = 0;
    };

} // namespace

// The queue of log lines and the thread that writes them; owned here rather than by spdlog's registry, so that stopLog()
// can end it without removing the logger.
static std::shared_ptr<spdlog::details::thread_pool>& logWriter()
{
    static std::shared_ptr<spdlog::details::thread_pool> writer;
    return writer;
}

// Guards the pointer, which the metrics page copies while the process stops.
static std::mutex& logWriterMutex()
{
    static std::mutex mutex;
    return mutex;
}

static std::atomic<bool> hasStopped = false;

void startLog(std::string_view level)
{
    logWriter() = std::make_shared<spdlog::details::thread_pool>(maxQueuedLines, 1);
    auto sink = std::make_shared<spdlog::sinks::stdout_sink_mt>();
    auto logger = std::make_shared<spdlog::async_logger>("radishflow", std::move(sink), logWriter(), spdlog::async_overflow_policy::overrun_oldest);
    // A line logged after stopLog() has no writer left, which is no error.
    logger->set_error_handler([](const std::string& error) {
        if (!hasStopped)
            std::cerr << "log: " << error << '\n';
    });
    spdlog::set_default_logger(std::move(logger));
    spdlog::set_level(spdlog::level::from_str(std::string { level }));
    spdlog::set_pattern("time=%Y-%m-%dT%H:%M:%S.%eZ level=%l %v", spdlog::pattern_time_type::utc);
}

// Workers may still log requests when the process ends, so the logger itself stays. The writer waits while the
// output is a full pipe, which must not keep the process from ending.
void stopLog()
{
    hasStopped = true;
    auto flushed = std::make_shared<std::promise<void>>();
    std::shared_ptr<spdlog::details::thread_pool> last;
    {
        const std::lock_guard lock { logWriterMutex() };
        last = std::move(logWriter());
    }
    std::thread { [writer = std::move(last), flushed]() mutable {
        writer.reset();
        flushed->set_value();
    } }.detach();
    flushed->get_future().wait_for(maxFlushTime);
}

std::size_t droppedLogLines()
{
    const std::lock_guard lock { logWriterMutex() };
    const auto& writer = logWriter();
    return writer ? writer->overrun_counter() : 0;
}

static double milliseconds(duration time)
{
    return std::chrono::duration<double, std::milli>(time).count();
}

void logRequest(const request_record& record)
{
    static served_line_limiter limiter;
    int suppressedLines = 0;
    if (record.isServed()) {
        suppressedLines = limiter.tryAcquire();
        if (suppressedLines < 0)
            return;
    }
    const auto level = record.isServed() ? spdlog::level::info : spdlog::level::warn;
    spdlog::log(level, "event=request request={} resumes={} route={} workspace={} service={} fingerprint={} outcome={} reason=\"{}\" status={} from={} via={} sends={} servers=\"{}\" prompt={} load={:.1f} mean_load={:.1f} load_age_ms={:.0f} reports={}/{} eligible={} config={} config_age_ms={:.0f} fleet={} first_ms={:.1f} total_ms={:.1f} left_out={}",
        record.request.value(), record.resumes.value(), record.route, record.workspace.value(), record.service.value(), record.fingerprint, record.outcome, record.reason, record.status, record.forwardedFrom.value(), record.forwardedTo.value(), record.sends, record.servers, record.prompt,
        record.serverLoad, record.meanLoad, record.loadReportAge ? milliseconds(*record.loadReportAge) : -1, record.reportedCandidates, record.candidates, record.eligibleServers, record.config.value(), milliseconds(record.configAge), record.fleetSize, record.firstBytes ? milliseconds(*record.firstBytes) : -1, milliseconds(record.total), suppressedLines);
}

} // namespace radishflow
