// Streams that go on at a server which has started again as another software version behind a cut from the store.
#include "worker.h"

using namespace review;

namespace {

constexpr int daemonCount = 3;
constexpr int workerCount = 10;
constexpr int streams = 6;
constexpr int maxProbes = 400;
constexpr std::size_t allowed = 2; // Streams with events of two versions.
constexpr int timeLimitMs = 12000;

std::string fieldsOf(const std::string& id, const std::string& prompt)
{
    return requestFields(id, timeLimitMs) + "X-Model: m\r\nX-Token-Counts: 900,80\r\nX-Prompt-Prefix: " + prompt + "\r\n";
}

std::string promptOf(int number)
{
    char text[32];
    std::snprintf(text, sizeof text, "%x:800,%x:100", 0x10000 + number, 0x20000 + number);
    return text;
}

bool hasHeld(recorder& record)
{
    store platform;
    fleet daemons { record };
    const char* zones[] { "za", "zb", "zc" };
    for (int number = 0; number < daemonCount; ++number)
        daemons.add(zones[number % 3], platform.serve(number, { .ip = daemons.ip(1), .port = 8300 + number }));
    std::vector<std::unique_ptr<worker>> workers;
    std::map<std::string, std::string> entries;
    for (int number = 0; number < workerCount; ++number) {
        const worker_options options { .id = "i-" + std::to_string(number), .zone = zones[number % 3], .version = number < 2 ? "v1" : "v2", .events = 40, .eventGap = milliseconds { 150 } };
        workers.push_back(std::make_unique<worker>(record, options, std::vector<endpoint> { { .ip = daemons.ip(100 + number), .port = 8080 } }));
        entries[workers.back()->id()] = workers.back()->entry();
    }
    platform.put("servers", entries);
    heartbeat beats { platform, workers };
    platform.put("op", "config", writeConfig(7, 10));
    daemons.startAll(true);
    daemons.awaitReady();
    std::this_thread::sleep_for(milliseconds { 3000 });

    // Finds prompts that belong to one of the two servers of version v1, at which the streams will begin.
    std::vector<int> prompts;
    std::string first;
    for (int number = 0; number < maxProbes && prompts.size() < streams; ++number) {
        caller client { daemons.callers(static_cast<std::size_t>(number % daemonCount)) };
        const auto result = client.call("POST /stream/a", fieldsOf("p" + std::to_string(number), promptOf(number)), "prompt", milliseconds { 2000 }, [](const message&) { return false; });
        const std::string server = result.response.field("X-Instance");
        if (server != "i-0" && server != "i-1")
            continue;
        first = first.empty() ? server : first;
        if (server == first)
            prompts.push_back(number);
    }
    if (prompts.size() < streams)
        throw cannot_run("no prompts for a server of version v1");
    worker& origin = first == "i-0" ? *workers[0] : *workers[1];
    worker& other = first == "i-0" ? *workers[1] : *workers[0];
    std::this_thread::sleep_for(milliseconds { 3000 });

    std::mutex mutex;
    std::size_t mixed = 0;
    std::size_t whole = 0;
    std::vector<std::thread> threads;
    for (int number = 0; number < streams; ++number) {
        threads.emplace_back([&, number] {
            caller client { daemons.callers(static_cast<std::size_t>(number % daemonCount)) };
            const std::string id = "s" + std::to_string(number);
            const auto result = client.call("POST /stream/a", fieldsOf(id, promptOf(prompts[static_cast<std::size_t>(number)])), "prompt", milliseconds { timeLimitMs });
            const bool hasFirst = result.response.body.find("data: v1") != std::string::npos;
            const bool hasSecond = result.response.body.find("data: v2") != std::string::npos;
            const std::lock_guard lock { mutex };
            mixed += hasFirst && hasSecond ? 1 : 0;
            whole += result.isComplete ? 1 : 0;
            record.write("stream " + id + " at daemon " + std::to_string(number % daemonCount) + ": status " + std::to_string(result.status) + (result.isComplete ? ", complete" : ", broken") + (hasFirst ? ", events of v1" : "") + (hasSecond ? ", events of v2" : "") + "; head of " + result.response.field("X-Instance"));
        });
    }
    std::this_thread::sleep_for(milliseconds { 1000 });
    if (hasTrouble()) {
        for (worker* server : { &other, &origin }) {
            platform.put("servers", server->id(), server->entry());
            beats.silence(server->id());
        }
        record.say("servers " + other.id() + " and " + origin.id() + " are cut off from the store just after they renewed their entries");
        std::this_thread::sleep_for(milliseconds { 300 });
        other.stop();
        std::this_thread::sleep_for(milliseconds { 500 });
        other.start("v2");
        record.say("server " + other.id() + ", which had no request, has crashed and started again as v2, behind the cut");
        std::this_thread::sleep_for(milliseconds { 1700 });
        origin.stop();
        record.say("server " + origin.id() + " crashes with its streams");
        std::this_thread::sleep_for(milliseconds { 1100 });
        for (worker* server : { &other, &origin })
            platform.remove("servers", server->id());
        record.say("their entries lapse");
        origin.start("v2");
        std::this_thread::sleep_for(milliseconds { 1400 });
        for (worker* server : { &other, &origin }) {
            platform.put("servers", server->id(), server->entry());
            beats.resume(server->id());
        }
        record.say("the cut heals");
    }
    for (std::thread& thread : threads)
        thread.join();
    record.say("streams: " + std::to_string(streams) + ", received whole: " + std::to_string(whole) + ", with events of both versions: " + std::to_string(mixed) + "; allowed: " + std::to_string(allowed));
    return mixed <= allowed;
}

} // namespace

int main()
{
    return runCase("case 6: streams go on at a server of another version", hasHeld);
}
