// Configurations that add a route, while a daemon is partitioned from all servers and the store turns away two others.
#include "worker.h"

using namespace review;

namespace {

constexpr int daemonCount = 6;
constexpr int workerCount = 6;
constexpr int changes = 3;
constexpr int clients = 4;
constexpr std::size_t entryDaemon = 0;
constexpr int refusedDaemons[] { 1, 2 };
constexpr std::int64_t rollbackSlackMs = 250;

struct sample {
    std::int64_t sentAt = 0;
    int status = 0;
    std::string id;
};

bool hasHeld(recorder& record)
{
    fleet daemons { record };
    std::vector<std::unique_ptr<worker>> workers;
    // Each daemon reaches each server at an address of its own, so that its path can be cut.
    store platform { [&](int daemon, const std::string& value) {
        std::string rewritten = value;
        for (const auto& server : workers) {
            const std::string first = '"' + server->address(0) + '"';
            if (const auto at = value.find(first); at != std::string::npos)
                rewritten.replace(at, first.size(), '"' + server->address(std::max(daemon, 0)) + '"');
        }
        return rewritten;
    } };
    const char* zones[] { "za", "zb", "zc" };
    for (int number = 0; number < daemonCount; ++number)
        daemons.add(zones[number % 3], platform.serve(number, { .ip = daemons.ip(1), .port = 8300 + number }));
    for (int number = 0; number < workerCount; ++number) {
        std::vector<endpoint> paths;
        for (int daemon = 0; daemon < daemonCount; ++daemon)
            paths.push_back({ .ip = daemons.ip(100 + number), .port = 8080 + daemon });
        workers.push_back(std::make_unique<worker>(record, worker_options { .id = "i-" + std::to_string(number), .zone = zones[number % 3] }, paths));
    }
    std::map<std::string, std::string> entries;
    for (const auto& server : workers)
        entries[server->id()] = server->entry();
    platform.put("servers", entries);
    heartbeat beats { platform, workers };
    int version = 7;
    std::vector<std::string> routes;
    platform.put("op", "config", writeConfig(version, 0));
    daemons.startAll(true);
    daemons.awaitReady();
    std::this_thread::sleep_for(milliseconds { 3000 });

    std::atomic<bool> isOver = false;
    std::vector<std::thread> usual;
    for (int number = 0; number < daemonCount; ++number) {
        usual.emplace_back([&, number] {
            caller client { daemons.callers(static_cast<std::size_t>(number)) };
            for (int request = 0; !isOver; ++request) {
                client.call("GET /read/a", requestFields("u" + std::to_string(number) + '-' + std::to_string(request), 4000), {}, milliseconds { 4000 });
                std::this_thread::sleep_for(milliseconds { 50 });
            }
        });
    }
    std::this_thread::sleep_for(milliseconds { 1000 });
    if (hasTrouble()) {
        record.say("daemon 0 is partitioned from all servers, and the store turns daemons 1 and 2 away");
        for (const auto& server : workers)
            server->pathOf(entryDaemon).close();
        for (const int daemon : refusedDaemons)
            platform.refuse(daemon);
        std::this_thread::sleep_for(milliseconds { 2000 });
    }
    int regressed = 0;
    for (int change = 1; change <= changes; ++change) {
        const std::string route = "new" + std::to_string(change);
        routes.push_back(route);
        version += 3;
        platform.put("op", "config", writeConfig(version, 0, routes));
        record.say("configuration " + std::to_string(version) + " adds the route " + route);
        std::mutex mutex;
        std::vector<sample> samples;
        std::vector<std::thread> threads;
        const auto end = steady::now() + milliseconds { 1500 };
        for (int number = 0; number < clients; ++number) {
            threads.emplace_back([&, number] {
                caller client { daemons.callers(entryDaemon) };
                for (int request = 0; steady::now() < end; ++request) {
                    sample seen { .sentAt = record.since(), .status = 0, .id = route + '-' + std::to_string(number) + '-' + std::to_string(request) };
                    seen.status = client.call("GET /" + route + "/a", requestFields(seen.id, 4000), {}, milliseconds { 4000 }).status;
                    record.write("request " + seen.id + " at daemon 0, sent at " + std::to_string(seen.sentAt) + ": status " + std::to_string(seen.status));
                    const std::lock_guard lock { mutex };
                    samples.push_back(seen);
                    std::this_thread::sleep_for(milliseconds { 10 });
                }
            });
        }
        for (std::thread& thread : threads)
            thread.join();
        std::int64_t seenAt = -1;
        for (const auto& server : workers) {
            for (const arrival& each : server->arrivals()) {
                if (each.path == '/' + route + "/a" && (seenAt < 0 || each.at < seenAt))
                    seenAt = each.at;
            }
        }
        std::map<int, int> statuses;
        int late = 0;
        for (const sample& seen : samples) {
            ++statuses[seen.status];
            late += seenAt >= 0 && seen.status == 404 && seen.sentAt > seenAt + rollbackSlackMs ? 1 : 0;
        }
        std::string text;
        for (const auto& [status, count] : statuses)
            text += ' ' + std::to_string(count) + " x " + std::to_string(status);
        record.say("route " + route + ": a server saw it first at " + std::to_string(seenAt) + "; answers of daemon 0:" + text + "; 404 to requests sent more than 250 ms after that: " + std::to_string(late));
        regressed += late;
        std::this_thread::sleep_for(milliseconds { 200 });
    }
    isOver = true;
    for (std::thread& thread : usual)
        thread.join();
    return regressed == 0;
}

} // namespace

int main()
{
    return runCase("case 8: a daemon forwards requests to daemons with an older configuration", hasHeld);
}
