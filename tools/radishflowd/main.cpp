// The radishflow daemon: takes callers, owns backend servers, and routes requests to them.
#include "radishflow/Daemon/radishflow_daemon.h"

#include "settings.h"

#include <Poco/Exception.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <iostream>

// Signals are taken by sigwait on the main thread, so that no handler runs at a wrong moment.
static sigset_t blockStopSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    // A caller or peer that closes its connection is an error of a write, not of the process.
    std::signal(SIGPIPE, SIG_IGN);
    return signals;
}

static void waitForSignal(const sigset_t& signals)
{
    int signal = 0;
    sigwait(&signals, &signal);
}

static bool isSignalPending(const sigset_t& signals)
{
    const timespec noWait {};
    return sigtimedwait(&signals, nullptr, &noWait) > 0;
}

static void setUpLog(const std::string& level)
{
    spdlog::set_default_logger(spdlog::stderr_logger_mt("radishflowd"));
    spdlog::set_level(spdlog::level::from_str(level));
    spdlog::set_pattern("time=%Y-%m-%dT%H:%M:%S.%eZ level=%l %v", spdlog::pattern_time_type::utc);
}

// Runs a daemon until a signal and ends the process with 3 when the stop cuts something.
static void serve(const radishflow::settings_outcome& settings, const sigset_t& signals)
{
    using namespace radishflow;
    const daemon_options& options = settings.options;
    radishflow_daemon daemon { options };
    std::cout << "listening http=" << options.address << ':' << daemon.httpPort() << " peer=" << options.address << ':' << daemon.peerPort() << std::endl;
    spdlog::info("step=\"start\" daemon={} zone={}", options.name.value(), options.zone.value());
    waitForSignal(signals);
    spdlog::info("step=\"drain\" daemon={}", options.name.value());
    const drain_outcome left = daemon.drain([&] { return isSignalPending(signals); });
    spdlog::info("step=\"stop\" daemon={} cut_calls={} cut_answers={} servers_released={}", options.name.value(), left.calls, left.answers, left.areServersReleased);
    // What is left would hold up the destructors for as long as it runs, and was said to be cut.
    if (!left.isClean()) {
        spdlog::default_logger()->flush();
        std::_Exit(3);
    }
}

int main(int argc, char** argv)
{
    using namespace radishflow;
    const settings_outcome outcome = readSettings(argc, argv);
    if (outcome.isHelp) {
        std::cout << outcome.help;
        return 0;
    }
    if (!outcome.problems.empty()) {
        for (const std::string& problem : outcome.problems)
            std::cerr << "radishflowd: " << problem << '\n';
        return 2;
    }
    setUpLog(outcome.logLevel);
    const sigset_t signals = blockStopSignals();
    try {
        serve(outcome, signals);
    } catch (const Poco::Exception& error) {
        std::cerr << "radishflowd: " << error.displayText() << '\n';
        return 1;
    } catch (const std::exception& error) {
        std::cerr << "radishflowd: " << error.what() << '\n';
        return 1;
    }
    return 0;
}
