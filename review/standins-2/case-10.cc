// Streams that callers take up again after all daemons were killed at the same moment.
#include "worker.h"

using namespace review;

namespace {

constexpr int streams = 24;
constexpr int daemonCount = 3;
constexpr milliseconds contactTime { 3000 };
constexpr milliseconds downTime { 1300 };
constexpr int timeLimitMs = 12000;
constexpr int maxTries = 5;

struct stream_state {
    int lastEvent = 0;
    int tries = 0;
    bool isComplete = false;
    bool isWrong = false;
};

int lastEventOf(const std::string& body)
{
    const auto end = body.rfind("\n\n");
    const auto at = end == std::string::npos ? end : body.rfind("id: ", end);
    return at == std::string::npos ? 0 : std::atoi(body.c_str() + at + 4);
}

bool hasHeld(recorder& record)
{
    store platform;
    fleet daemons { record };
    const char* zones[] { "za", "zb", "zc" };
    for (int number = 0; number < daemonCount; ++number)
        daemons.add(zones[number], platform.serve(number, { .ip = daemons.ip(1), .port = 8300 + number }));
    std::vector<std::unique_ptr<worker>> workers;
    for (int number = 0; number < 6; ++number) {
        workers.push_back(std::make_unique<worker>(record, worker_options { .id = "i-" + std::to_string(number), .zone = zones[number % 3] }, std::vector<endpoint> { { .ip = daemons.ip(100 + number), .port = 8080 } }));
        platform.put("servers", workers.back()->id(), workers.back()->entry());
    }
    heartbeat beats { platform, workers };
    platform.put("op", "config", writeConfig(7, 10));
    daemons.startAll(true);
    daemons.awaitReady();
    std::this_thread::sleep_for(milliseconds { 2000 });

    std::atomic<bool> areBroken = false;
    std::atomic<int> whole = 0;
    std::atomic<int> takenUp = 0;
    std::atomic<int> wentOn = 0;
    std::atomic<int> begun = 0;
    std::atomic<int> tried = 0;
    std::atomic<bool> isOver = false;
    std::mutex startsMutex;
    std::vector<steady::time_point> inTouchFrom(daemonCount, steady::now());
    const auto isInTouch = [&](int daemon) {
        const std::lock_guard lock { startsMutex };
        return steady::now() >= inTouchFrom[static_cast<std::size_t>(daemon)];
    };
    std::vector<std::thread> threads;
    for (int number = 0; number < streams; ++number) {
        threads.emplace_back([&, number] {
            const auto startedAt = steady::now();
            const std::string name = "s" + std::to_string(number);
            stream_state state;
            milliseconds wait { 500 };
            for (int attempt = 0; attempt <= maxTries && !state.isComplete; ++attempt) {
                const auto left = milliseconds { timeLimitMs } - std::chrono::duration_cast<milliseconds>(steady::now() - startedAt);
                if (left.count() < 500)
                    break;
                const int daemon = (number + attempt) % daemonCount;
                const std::string id = attempt == 0 ? name : name + "-" + std::to_string(attempt);
                const std::string position = state.lastEvent == 0 ? std::string {} : "Resumes: " + name + "\r\nLast-Event-Id: " + std::to_string(state.lastEvent) + "\r\n";
                const bool isResumption = state.lastEvent > 0;
                const bool counts = isResumption && isInTouch(daemon);
                caller client { daemons.callers(static_cast<std::size_t>(daemon)) };
                const int before = state.lastEvent;
                const auto result = client.call("POST /stream/a", requestFields(id, static_cast<int>(left.count())) + position, "prompt", left, [&](const message& response) {
                    state.lastEvent = std::max(lastEventOf(response.body), state.lastEvent);
                    return attempt > 0 || !areBroken; });
                state.isComplete = result.status == 200 && result.isComplete;
                if (counts) {
                    ++takenUp;
                    wentOn += result.status == 200 && state.lastEvent > before ? 1 : 0;
                }
                record.write("stream " + id + " at daemon " + std::to_string(daemon) + (isResumption ? counts ? " taken up again, in touch" : " taken up again" : " begun") + ": status " + std::to_string(result.status) + ", events " + std::to_string(before) + " to " + std::to_string(state.lastEvent) + (result.isComplete ? ", complete " : ", broken ") + result.response.body.substr(0, result.status == 503 ? 160 : 0));
                // Honours Retry-After; between the tries it waits longer each time.
                const double after = std::atof(result.response.field("Retry-After").c_str());
                if (!state.isComplete)
                    std::this_thread::sleep_for(std::max(wait, milliseconds { static_cast<int>(after * 1000) }));
                wait *= 2;
            }
            whole += state.isComplete ? 1 : 0;
            record.write("stream " + name + (state.isComplete ? " was received whole" : " was not received whole"));
        });
    }
    std::this_thread::sleep_for(milliseconds { 2000 });
    if (hasTrouble()) {
        record.say("all daemons are killed");
        {
            const std::lock_guard lock { startsMutex };
            for (auto& from : inTouchFrom)
                from = steady::time_point::max();
        }
        daemons.killAll();
        areBroken = true;
        std::this_thread::sleep_for(downTime);
        daemons.startAll(false);
        const std::lock_guard lock { startsMutex };
        for (auto& from : inTouchFrom)
            from = steady::now() + contactTime;
    } else {
        record.say("the callers' channels break");
        areBroken = true;
    }
    // New streams, for the comparison, in the same time.
    std::thread beginner { [&] {
        for (int number = 0; !isOver; ++number) {
            const int daemon = number % daemonCount;
            if (isInTouch(daemon)) {
                ++tried;
                caller client { daemons.callers(static_cast<std::size_t>(daemon)) };
                const auto result = client.call("POST /stream/n", requestFields("n" + std::to_string(number), timeLimitMs), "prompt", milliseconds { timeLimitMs }, [](const message& response) { return lastEventOf(response.body) == 0; });
                begun += result.status == 200 && lastEventOf(result.response.body) > 0 ? 1 : 0;
                record.write("stream n" + std::to_string(number) + " begun at daemon " + std::to_string(daemon) + ": status " + std::to_string(result.status));
            }
            std::this_thread::sleep_for(milliseconds { 100 });
        }
    } };
    for (std::thread& thread : threads)
        thread.join();
    isOver = true;
    beginner.join();
    record.say("taken up again at machines in touch: " + std::to_string(takenUp) + ", went on: " + std::to_string(wentOn) + "; new streams: " + std::to_string(tried) + ", began: " + std::to_string(begun));
    if (whole == streams)
        return true; // Streams that go on at the first chance leave none to take up later.
    if (takenUp < 12 || tried == 0)
        throw cannot_run("too few streams were taken up again");
    const double share = static_cast<double>(wentOn) / takenUp;
    return 2 * share >= static_cast<double>(begun) / tried;
}

} // namespace

int main()
{
    return runCase("case 10: streams are taken up again after all daemons were killed", hasHeld);
}
