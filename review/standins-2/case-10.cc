// Cold backend servers while all daemons start again after they were killed at the same moment.
#include "worker.h"

using namespace review;

namespace {

constexpr int daemonCount = 7;
constexpr int workerCount = 2;
constexpr milliseconds downTime { 1300 };
constexpr milliseconds coldTime { 3000 };
constexpr milliseconds listTime { 300 }; // In which running daemons read the entries; they count for the rule only afterwards.
constexpr double coldPerSecond = 10;
constexpr double coldExcess = 1.5;
constexpr double coldSlack = 5;
constexpr int requestsPerSecond = 240;
constexpr int callers = 56;

bool hasHeld(recorder& record)
{
    store platform;
    fleet daemons { record };
    const char* zones[] { "za", "zb", "zc" };
    for (int number = 0; number < daemonCount; ++number)
        daemons.add(zones[number % 3], platform.serve(number, { .ip = daemons.ip(1), .port = 8300 + number }));
    std::vector<std::unique_ptr<worker>> workers;
    for (int number = 0; number < workerCount; ++number) {
        workers.push_back(std::make_unique<worker>(record, worker_options { .id = "i-" + std::to_string(number), .zone = zones[number % 3] }, std::vector<endpoint> { { .ip = daemons.ip(100 + number), .port = 8080 } }));
        platform.put("servers", workers.back()->id(), workers.back()->entry());
    }
    heartbeat beats { platform, workers };
    platform.put("op", "config", writeConfig(7, coldPerSecond));
    daemons.startAll(true);
    daemons.awaitReady();
    std::this_thread::sleep_for(milliseconds { 3000 });

    std::atomic<bool> isOver = false;
    std::mutex sentMutex;
    std::map<std::string, std::int64_t> sentAt; // By request.
    std::atomic<int> sent = 0;
    std::atomic<int> served = 0;
    std::vector<std::thread> threads;
    for (int number = 0; number < callers; ++number) {
        threads.emplace_back([&, number] {
            const int daemon = number % daemonCount;
            caller client { daemons.callers(static_cast<std::size_t>(daemon)) };
            constexpr milliseconds interval { 1000 * callers / requestsPerSecond };
            auto next = steady::now() + interval * number / callers;
            for (int request = 0; !isOver; ++request) {
                std::this_thread::sleep_until(next);
                next = std::max(next + interval, steady::now() - interval);
                const std::string id = "c" + std::to_string(number) + '-' + std::to_string(request);
                ++sent;
                {
                    const std::lock_guard lock { sentMutex };
                    sentAt[id] = record.since();
                }
                const auto result = client.call("GET /read/a", requestFields(id, 4000), {}, milliseconds { 4000 });
                served += result.status == 200 ? 1 : 0;
                record.write("request " + id + " at daemon " + std::to_string(daemon) + ": status " + std::to_string(result.status));
            }
        });
    }
    std::this_thread::sleep_for(milliseconds { 2000 });
    if (hasTrouble()) {
        record.say("all daemons are killed");
        daemons.killAll();
    }
    std::this_thread::sleep_for(downTime);
    // Servers may become cold again at any moment, and state it in their entries.
    std::map<std::string, std::string> entries;
    for (const auto& server : workers) {
        server->setCold(coldTime);
        entries[server->id()] = server->entry();
    }
    platform.put("servers", entries);
    record.say("the servers are cold for 3 s");
    std::this_thread::sleep_for(listTime);
    const auto judgedFrom = record.since();
    if (hasTrouble())
        daemons.startAll(false);
    std::this_thread::sleep_for(coldTime + milliseconds { 1000 });
    isOver = true;
    for (std::thread& thread : threads)
        thread.join();

    const double limit = coldPerSecond * coldExcess + coldSlack;
    int worst = 0;
    for (const auto& server : workers) {
        // Only requests that were sent and arrived inside the second count.
        std::vector<std::pair<std::int64_t, std::int64_t>> times;
        for (const arrival& each : server->arrivals()) {
            if (each.isCold && each.at >= judgedFrom)
                times.emplace_back(sentAt[each.request], each.at);
        }
        int most = 0;
        for (const auto& [from, unused] : times) {
            const auto isInside = [from = from](const auto& time) { return time.first >= from && time.second < from + 1000; };
            most = std::max(most, static_cast<int>(std::count_if(times.begin(), times.end(), isInside)));
        }
        worst = std::max(worst, most);
        record.say("server " + server->id() + ": " + std::to_string(times.size()) + " requests while cold, at most " + std::to_string(most) + " in one second; the rule allows " + std::to_string(static_cast<int>(limit)));
    }
    record.say("requests: " + std::to_string(sent) + ", served: " + std::to_string(served));
    return worst <= limit;
}

} // namespace

int main()
{
    return runCase("case 10: cold servers while all daemons start again", hasHeld);
}
