// The stand-ins of outside systems as a program, for whole-program tests.
#include "radishflow/Emulator/engine_emulator.h"
#include "radishflow/Emulator/fault_proxy.h"
#include "radishflow/Emulator/plain_emulator.h"
#include "radishflow/Emulator/platform_emulator.h"

#include <gflags/gflags.h>

#include <csignal>
#include <exception>
#include <iostream>
#include <sys/prctl.h>
#include <unistd.h>

DEFINE_string(role, "", "platform, engine, plain or proxy");
DEFINE_string(listen, "127.0.0.1:0", "address to serve on; port 0 takes a free one");
DEFINE_string(control, "", "second address for /control, which lasts while the first one refuses");
DEFINE_bool(exit_with_parent, false, "end when the parent process ends");
DEFINE_int32(threads, 700, "connections served at once");

DEFINE_double(writes_per_second, 400, "platform: writes before 429");
DEFINE_double(reads_per_second, 2000, "platform: reads before 429");
DEFINE_double(weights_per_second, 1, "platform: weights before 429");
DEFINE_int32(host_lag_ms, 0, "platform: how late the host list is");

DEFINE_int32(slots, 8, "engine: requests that run at once");
DEFINE_int32(token_interval_ms, 20, "engine: time between tokens");
DEFINE_int32(first_token_ms, 50, "engine: time to the first token");
DEFINE_int32(cold_limit, 0, "engine: requests that it bears while cold; 0 for never cold");
DEFINE_int32(warm_after, 4, "engine: completions that make it warm");
DEFINE_int32(cold_slowdown, 3, "engine: factor on its times while cold");
DEFINE_int32(kv_prefixes, 64, "engine: prefixes that its cache holds");
DEFINE_int32(report_lag_ms, 1000, "engine: how late its metrics and cache events are");
DEFINE_int32(resume_ms, 5000, "engine: how long a stream without a connection can be resumed");
DEFINE_bool(checks_fence, true, "engine: refuse orders with an old fencing number");

DEFINE_int32(limit, 0, "plain: requests at once that it bears; 0 for any number");
DEFINE_int32(slow_ms, 0, "plain: time that each request takes");

DEFINE_string(target, "", "proxy: address that it relays to");
DEFINE_bool(udp, false, "proxy: relay datagrams instead of connections");

using namespace radishflow;
using std::chrono::milliseconds;

static int waitForSignal()
{
    sigset_t awaited;
    sigemptyset(&awaited);
    sigaddset(&awaited, SIGTERM);
    sigaddset(&awaited, SIGINT);
    int received = 0;
    sigwait(&awaited, &received);
    return 0;
}

// Threads inherit the mask, so the signals reach waitForSignal only.
static void blockSignals()
{
    sigset_t awaited;
    sigemptyset(&awaited);
    sigaddset(&awaited, SIGTERM);
    sigaddset(&awaited, SIGINT);
    pthread_sigmask(SIG_BLOCK, &awaited, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
}

template <typename Emulator, typename Options>
static int serve(const Options& options)
{
    const listen_options listen { .address = FLAGS_listen, .control = FLAGS_control, .threads = FLAGS_threads };
    const Emulator emulator { listen, options };
    std::cout << "listening 127.0.0.1:" << emulator.port();
    if (emulator.controlPort() != 0)
        std::cout << " control=127.0.0.1:" << emulator.controlPort();
    std::cout << std::endl;
    return waitForSignal();
}

static int servePlatform()
{
    return serve<platform_emulator>(platform_emulator_options {
        .writesPerSecond = FLAGS_writes_per_second,
        .readsPerSecond = FLAGS_reads_per_second,
        .weightsPerSecond = FLAGS_weights_per_second,
        .hostLag = milliseconds { FLAGS_host_lag_ms },
    });
}

static int serveEngine()
{
    return serve<engine_emulator>(engine_emulator_options {
        .slots = FLAGS_slots,
        .tokenInterval = milliseconds { FLAGS_token_interval_ms },
        .firstToken = milliseconds { FLAGS_first_token_ms },
        .coldLimit = FLAGS_cold_limit,
        .warmAfter = FLAGS_warm_after,
        .coldSlowdown = FLAGS_cold_slowdown,
        .kvPrefixes = FLAGS_kv_prefixes,
        .reportLag = milliseconds { FLAGS_report_lag_ms },
        .resumeWindow = milliseconds { FLAGS_resume_ms },
        .checksFence = FLAGS_checks_fence,
    });
}

static int servePlain()
{
    return serve<plain_emulator>(plain_emulator_options { .limit = FLAGS_limit, .slow = milliseconds { FLAGS_slow_ms } });
}

static int serveProxy()
{
    return serve<fault_proxy>(fault_proxy_options {
        .target = FLAGS_target,
        .transport = FLAGS_udp ? proxy_transport::Udp : proxy_transport::Tcp,
    });
}

static int run()
{
    if (FLAGS_role == "platform")
        return servePlatform();
    if (FLAGS_role == "engine")
        return serveEngine();
    if (FLAGS_role == "plain")
        return servePlain();
    if (FLAGS_role == "proxy")
        return serveProxy();
    std::cerr << "radishflow-emulator: --role has to be platform, engine, plain or proxy\n";
    return 2;
}

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (FLAGS_exit_with_parent) {
        const pid_t parent = ::getppid();
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (::getppid() != parent)
            return 1;
    }
    blockSignals();
    try {
        return run();
    } catch (const std::exception& error) {
        std::cerr << "radishflow-emulator: " << error.what() << '\n';
        return 1;
    }
}
