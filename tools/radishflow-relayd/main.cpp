// The relaying daemon: takes callers on the users' platform and sends their requests straight to backend servers.
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

DEFINE_string(settings, "", "path of the platform's settings file; empty takes RADISHFLOW_NODE_FILE");
DEFINE_string(log_level, "info", "trace, debug, info, warning, error or off");
DEFINE_int32(metrics_port, 9464, "port of the metrics page");
DEFINE_int32(workers, 400, "requests that are served at the same time");

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

constexpr int badSettings = 2;

std::string settingsPath()
{
    const char* path = std::getenv("RADISHFLOW_NODE_FILE");
    return !FLAGS_settings.empty() || !path ? FLAGS_settings : path;
}

} // namespace

// Signals are taken by sigwait on the main thread, so that no handler runs at a wrong moment.
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

// Addresses and bounds hold for the life of the process; a reload tells whether the file could still be read.
static void waitForStop(const sigset_t& signals)
{
    int signal = 0;
    while (sigwait(&signals, &signal) == 0 && signal == SIGHUP)
        spdlog::info("event=reload settings={} readable={}", settingsPath(), loadSettings().has_value());
}

// One heap for all threads: a small host has one core, and each further heap would keep its own free memory.
static void limitHeaps()
{
    constexpr int largeBlockBytes = 64 * 1024;
    mallopt(M_ARENA_MAX, 1);
    mallopt(M_MMAP_THRESHOLD, largeBlockBytes);
    mallopt(M_TRIM_THRESHOLD, largeBlockBytes);
}

int main(int argc, char** argv)
{
    using namespace radishflow;
    limitHeaps();
    gflags::SetUsageMessage("radishflow-relayd [--settings=FILE] [--log_level=LEVEL] [--metrics_port=PORT] [--workers=N]");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const sigset_t signals = blockSignals();
    const auto settings = loadSettings();
    if (!settings)
        return badSettings;
    startLog(FLAGS_log_level);
    try {
        relay_daemon daemon { { .platform = *settings, .metricsPort = static_cast<std::uint16_t>(FLAGS_metrics_port), .workers = FLAGS_workers } };
        spdlog::info("event=start daemon={} zone={} callers={} store={}", settings->daemon.value(), settings->zone.value(), settings->callerAddress, settings->storeAddress);
        waitForStop(signals);
        spdlog::info("event=stopping daemon={} grace_ms={}", settings->daemon.value(), settings->stopGrace.count());
        daemon.drain();
        stopLog();
        // The grace is over; destructors would wait for requests that still run.
        _exit(EXIT_SUCCESS);
    } catch (const Poco::Exception& error) {
        spdlog::critical("event=start_failed error=\"{}\"", error.displayText());
        stopLog();
        return EXIT_FAILURE;
    }
}
