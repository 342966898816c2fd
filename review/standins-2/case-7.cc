// A request that crashes each of the two servers of a small deployment, and comes again.
#include "worker.h"

using namespace review;

namespace {

constexpr int daemonCount = 3;
constexpr int workerCount = 2;
constexpr milliseconds contactTime { 3000 };
constexpr int comings = 10;
constexpr milliseconds interval { 4500 };
constexpr int allowed = 3; // Retries that reach servers later than the contact time after the third crash.
constexpr const char* crashingPath = "/read/crash";

bool hasHeld(recorder& record)
{
    store platform;
    fleet daemons { record };
    for (int number = 0; number < daemonCount; ++number)
        daemons.add("za", platform.serve(number, { .ip = daemons.ip(1), .port = 8300 + number }));
    std::vector<std::unique_ptr<worker>> workers;
    for (int number = 0; number < workerCount; ++number) {
        workers.push_back(std::make_unique<worker>(record, worker_options { .id = "i-" + std::to_string(number), .zone = "za" }, std::vector<endpoint> { { .ip = daemons.ip(100 + number), .port = 8080 } }));
        platform.put("servers", workers.back()->id(), workers.back()->entry());
    }
    heartbeat beats { platform, workers };
    platform.put("op", "config", writeConfig(7, 0));
    daemons.startAll(true);
    daemons.awaitReady();
    std::this_thread::sleep_for(milliseconds { 3000 });
    std::atomic<bool> isOver = false;
    std::atomic<int> sent = 0;
    std::atomic<int> served = 0;
    std::vector<std::thread> threads;
    for (int number = 0; number < 6; ++number) {
        threads.emplace_back([&, number] {
            caller client { daemons.callers(static_cast<std::size_t>(number % daemonCount)) };
            for (int request = 0; !isOver; ++request) {
                const std::string id = "c" + std::to_string(number) + '-' + std::to_string(request);
                ++sent;
                const int status = client.call("GET /read/" + id, requestFields(id, 4000), {}, milliseconds { 4000 }).status;
                served += status == 200 ? 1 : 0;
                record.write("request " + id + ": status " + std::to_string(status));
                std::this_thread::sleep_for(milliseconds { 100 });
            }
        });
    }
    std::this_thread::sleep_for(milliseconds { 1000 });
    if (hasTrouble()) {
        for (const auto& server : workers)
            server->setCrashing(crashingPath, [&platform, &server] { platform.put("servers", server->id(), server->entry()); });
    }
    for (int number = 0; number < comings; ++number) {
        caller client { daemons.callers(static_cast<std::size_t>(number % daemonCount)) };
        const std::string id = "x" + std::to_string(number);
        const int status = client.call(std::string { "GET " } + crashingPath, requestFields(id, 4000), {}, milliseconds { 4000 }).status;
        record.say("request " + id + " at daemon " + std::to_string(number % daemonCount) + ": status " + std::to_string(status));
        std::this_thread::sleep_for(interval);
    }
    isOver = true;
    for (std::thread& thread : threads)
        thread.join();
    std::vector<std::pair<std::int64_t, std::string>> crashes;
    for (const auto& server : workers) {
        for (const arrival& each : server->arrivals()) {
            if (each.path == crashingPath && each.result.find("crashed") != std::string::npos)
                crashes.emplace_back(each.at, each.request);
        }
    }
    std::sort(crashes.begin(), crashes.end());
    std::set<std::string> late;
    for (const auto& [at, request] : crashes) {
        if (crashes.size() > 3 && at > crashes[2].first + contactTime.count())
            late.insert(request);
    }
    record.say("crashes: " + std::to_string(crashes.size()) + "; retries that reached servers later than 3 s after the third: " + std::to_string(late.size()) + ", allowed: " + std::to_string(allowed));
    record.say("sound requests: " + std::to_string(sent) + ", served: " + std::to_string(served));
    return static_cast<int>(late.size()) <= allowed;
}

} // namespace

int main()
{
    return runCase("case 7: a request crashes both servers of the only service", hasHeld);
}
