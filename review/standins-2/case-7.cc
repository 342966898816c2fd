// Brittle backend servers while many users come at once.
#include "worker.h"

using namespace review;

namespace {

constexpr int daemonCount = 3;
constexpr int workerCount = 3;
constexpr int slots = 6;
constexpr int usualQueue = 24;
constexpr int brittleQueue = 6;
constexpr int brittleLimit = 24; // Requests that a server may turn away in a second.
constexpr milliseconds contactTime { 3000 };
constexpr milliseconds burstTime { 3000 };
constexpr milliseconds timeAfter { 3000 };
constexpr int usualRate = 200; // Requests a second, two thirds of what the servers can run.
constexpr double burst = 1.7;
constexpr int callers = 240;

bool hasHeld(recorder& record)
{
    store platform;
    fleet daemons { record };
    const char* zones[] { "za", "zb", "zc" };
    for (int number = 0; number < daemonCount; ++number)
        daemons.add(zones[number % 3], platform.serve(number, { .ip = daemons.ip(1), .port = 8300 + number }));
    std::vector<std::unique_ptr<worker>> workers;
    for (int number = 0; number < workerCount; ++number) {
        workers.push_back(std::make_unique<worker>(record, worker_options { .id = "i-" + std::to_string(number), .zone = zones[number % 3], .slots = slots, .queue = usualQueue }, std::vector<endpoint> { { .ip = daemons.ip(100 + number), .port = 8080 } }));
        platform.put("servers", workers.back()->id(), workers.back()->entry());
    }
    heartbeat beats { platform, workers };
    platform.put("op", "config", writeConfig(7, 0));
    daemons.startAll(true);
    daemons.awaitReady();
    std::this_thread::sleep_for(milliseconds { 3000 });

    std::atomic<bool> isOver = false;
    std::atomic<double> rate = usualRate;
    std::map<std::string, std::atomic<int>> counts;
    for (const char* name : { "sent", "served", "refused", "lost" })
        counts[name] = 0;
    std::vector<std::thread> threads;
    for (int number = 0; number < callers; ++number) {
        threads.emplace_back([&, number] {
            const int daemon = number % daemonCount;
            caller client { daemons.callers(static_cast<std::size_t>(daemon)) };
            auto next = steady::now() + milliseconds { 1000 * number / usualRate };
            for (int request = 0; !isOver; ++request) {
                std::this_thread::sleep_until(next);
                const auto interval = std::chrono::duration_cast<steady::duration>(std::chrono::duration<double> { callers / rate.load() });
                next = std::max(next + interval, steady::now() - interval);
                // Every second request is an order. A caller returns once, when the refusal says so.
                const bool isOrder = request % 2 == 0;
                const std::string id = "c" + std::to_string(number) + '-' + std::to_string(request);
                for (int attempt = 0; attempt < 2; ++attempt) {
                    ++counts["sent"];
                    const std::string attemptId = id + (attempt == 0 ? "" : "-again");
                    const auto result = client.call(isOrder ? "POST /order/a" : "GET /read/" + id, requestFields(attemptId, 4000 - attempt * 1000), isOrder ? "order " + id : "", milliseconds { 4000 });
                    record.write("request " + attemptId + " at daemon " + std::to_string(daemon) + ": status " + std::to_string(result.status));
                    ++counts[result.status == 200 ? "served" : result.status == 503 ? "refused"
                                                                                    : "lost"];
                    if (result.status != 503)
                        break;
                    std::this_thread::sleep_for(milliseconds { static_cast<int>(1000 * std::min(std::atof(result.response.field("Retry-After").c_str()), 1.0)) });
                }
            }
        });
    }
    std::this_thread::sleep_for(milliseconds { 2000 });
    record.say("the servers say that they are brittle");
    for (const auto& server : workers)
        server->setBrittle(brittleLimit, usualQueue, [&platform, &server] { platform.put("servers", server->id(), server->entry()); });
    std::this_thread::sleep_for(contactTime);
    for (const auto& server : workers)
        server->setBrittle(brittleLimit, brittleQueue, [&platform, &server] { platform.put("servers", server->id(), server->entry()); });
    if (hasTrouble()) {
        record.say("many users come at once");
        rate = usualRate * burst;
    }
    std::this_thread::sleep_for(burstTime);
    rate = usualRate;
    std::this_thread::sleep_for(timeAfter);
    isOver = true;
    for (std::thread& thread : threads)
        thread.join();
    int falls = 0;
    for (const auto& server : workers)
        falls += server->falls();
    for (const auto& [name, count] : counts)
        record.say(name + ": " + std::to_string(count));
    const double allowed = 2 + workerCount / 10.0;
    record.say("servers fell over " + std::to_string(falls) + " times; the rule allows " + std::to_string(allowed));
    return falls <= allowed;
}

} // namespace

int main()
{
    return runCase("case 7: brittle servers while many users come at once", hasHeld);
}
