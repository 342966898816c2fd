// The relaying daemon: accepts callers on the users' platform and forwards their requests directly to backend servers.
#include "radishflow/Relay/relay_log.h"

#include "relay_daemon.h"

#include <Poco/Exception.h>
#include <gflags/gflags.h>
#include <spdlog/spdlog.h>

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <malloc.h>
#include <unistd.h>

DEFINE_string(settings, "", "path of the platform's settings file; if empty, the path in RADISHFLOW_NODE_FILE is used");
DEFINE_string(log_level, "info", "trace, debug, info, warning, error or off");
DEFINE_int32(metrics_port, 9464, "port of the metrics page");
DEFINE_bool(dispatch, false, "send requests of services with fewer slots than daemons by way of a few daemons, where callers compete; the same on all daemons");
DEFINE_int32(workers, 400, "number of requests that are served concurrently");

static bool isPort(const char*, gflags::int32 port)
{
    return port > 0 && port < 65536;
}

static bool isPositive(const char*, gflags::int32 count)
{
    return count > 0;
}

DEFINE_validator(metrics_port, &isPort);
DEFINE_validator(workers, &isPositive);

namespace {

constexpr int invalidSettingsExitCode = 2;

std::string settingsPath()
{
    const char* path = std::getenv("RADISHFLOW_NODE_FILE");
    return !FLAGS_settings.empty() || !path ? FLAGS_settings : path;
}

} // namespace

// The main thread receives signals by sigwait(), so that no asynchronous handler can interrupt another thread.
static sigset_t blockSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    for (const int signal : { SIGTERM, SIGINT, SIGHUP })
        sigaddset(&signals, signal);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    return signals;
}

static std::optional<radishflow::platform_settings> loadSettings()
{
    using namespace radishflow;
    return valueOr(
        []() -> result<std::optional<platform_settings>> {
            BOOST_LEAF_AUTO(settings, readSettings(settingsPath()));
            return settings;
        },
        [](const failure& error) -> std::optional<platform_settings> {
            std::cerr << "radishflow-relayd: " << describe(error) << std::endl;
            return std::nullopt;
        });
}

// Addresses and limits stay fixed for the life of the process: SIGHUP applies no settings and only logs whether the file
// is readable.
static void waitForStopSignal(const sigset_t& signals)
{
    int signal = 0;
    while (sigwait(&signals, &signal) == 0 && signal == SIGHUP)
        spdlog::info("event=reload settings={} readable={}", settingsPath(), loadSettings().has_value());
}

// Uses one malloc arena for all threads: a small host has one core, and each additional arena would retain free memory of
// its own.
static void limitMallocArenas()
{
    constexpr int thresholdBytes = 64 * 1024;
    mallopt(M_ARENA_MAX, 1);
    mallopt(M_MMAP_THRESHOLD, thresholdBytes);
    mallopt(M_TRIM_THRESHOLD, thresholdBytes);
}

int main(int argc, char** argv)
{
    using namespace radishflow;
    limitMallocArenas();
    gflags::SetUsageMessage("radishflow-relayd [--settings=FILE] [--log_level=LEVEL] [--metrics_port=PORT] [--workers=N] [--dispatch]");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const sigset_t signals = blockSignals();
    const auto settings = loadSettings();
    if (!settings)
        return invalidSettingsExitCode;
    startLog(FLAGS_log_level);
    try {
        relay_daemon daemon { { .platform = *settings, .metricsPort = static_cast<std::uint16_t>(FLAGS_metrics_port), .workers = FLAGS_workers, .dispatchesFewSlots = FLAGS_dispatch } };
        spdlog::info("event=start daemon={} zone={} callers={} store={}", settings->daemon.value(), settings->zone.value(), settings->callerAddress, settings->storeAddress);
        waitForStopSignal(signals);
        spdlog::info("event=stopping daemon={} grace_ms={}", settings->daemon.value(), settings->stopGrace.count());
        daemon.drain();
        stopLog();
        // The grace period is over, and destructors would wait for requests that are still running.
        _exit(EXIT_SUCCESS);
    } catch (const Poco::Exception& error) {
        spdlog::critical("event=start_failed error=\"{}\"", error.displayText());
        stopLog();
        return EXIT_FAILURE;
    }
}
