// The directory of a daemon that is left alone after all others were lost at the same moment.
#include "worker.h"

using namespace review;

namespace {

constexpr int daemonCount = 3;
constexpr milliseconds contactTime { 3000 };
constexpr milliseconds noticeTime { 3000 }; // Beyond the contact time, in which the directory may name lost machines.
constexpr milliseconds observed { 30000 };
constexpr int allowed = 3; // Answers that name lost machines later.

bool hasHeld(recorder& record)
{
    store platform;
    fleet daemons { record };
    const char* zones[] { "za", "zb", "zb" };
    for (int number = 0; number < daemonCount; ++number)
        daemons.add(zones[number], platform.serve(number, { .ip = daemons.ip(1), .port = 8300 + number }));
    std::vector<std::unique_ptr<worker>> workers;
    for (int number = 0; number < 3; ++number) {
        workers.push_back(std::make_unique<worker>(record, worker_options { .id = "i-" + std::to_string(number), .zone = zones[number] }, std::vector<endpoint> { { .ip = daemons.ip(100 + number), .port = 8080 } }));
        platform.put("servers", workers.back()->id(), workers.back()->entry());
    }
    heartbeat beats { platform, workers };
    platform.put("op", "config", writeConfig(7, 0));
    daemons.startAll(true);
    daemons.awaitReady();
    const auto lookUp = [&] {
        caller client { { .ip = daemons.daemons()[0].ip, .port = fleet::lookupPort } };
        return client.call("GET /lookup?name=chat.example&region=vestland&zone=za", {}, {}, milliseconds { 1000 }).response.body;
    };
    const auto names = [&](const std::string& answer, std::size_t daemon) { return answer.find('"' + daemons.callers(daemon).text() + '"') != std::string::npos; };
    const auto deadline = steady::now() + milliseconds { 10000 };
    for (std::string answer = lookUp(); !names(answer, 0) || !names(answer, 1) || !names(answer, 2); answer = lookUp()) {
        if (steady::now() > deadline)
            throw cannot_run("the directory does not name all daemons: " + answer);
        std::this_thread::sleep_for(milliseconds { 100 });
    }
    std::this_thread::sleep_for(milliseconds { 3000 });
    record.say("the directory of daemon 0: " + lookUp());
    const auto lostAt = steady::now();
    if (hasTrouble()) {
        record.say("daemons 1 and 2 are lost for good at the same moment");
        for (const std::size_t number : { 1, 2 })
            ::kill(daemons.daemons()[number].process, SIGKILL);
        for (const std::size_t number : { 1, 2 })
            daemons.kill(number);
    }
    int answers = 0;
    int stale = 0;
    int failed = 0;
    for (int number = 0; steady::now() < lostAt + observed; ++number) {
        const bool isLate = steady::now() > lostAt + contactTime + noticeTime;
        const std::string answer = lookUp();
        const bool namesLost = hasTrouble() && names(answer, 0) && (names(answer, 1) || names(answer, 2));
        answers += isLate ? 1 : 0;
        stale += isLate && namesLost ? 1 : 0;
        // A caller that follows the answer, and tries an address at random.
        std::vector<std::size_t> named;
        for (const std::size_t daemon : { 0, 1, 2 }) {
            if (names(answer, daemon))
                named.push_back(daemon);
        }
        caller client { daemons.callers(named.empty() ? 0 : named[static_cast<std::size_t>(number) % named.size()]) };
        const int status = client.call("GET /read/a", requestFields("c" + std::to_string(number), 4000), {}, milliseconds { 4000 }).status;
        failed += isLate && status != 200 ? 1 : 0;
        record.write(std::string { isLate ? "late " : "" } + "answer " + answer + "; a first try at an address of it: status " + std::to_string(status));
        std::this_thread::sleep_for(milliseconds { 250 });
    }
    record.say("answers later than 6 s after the loss: " + std::to_string(answers) + ", of which name lost machines beside the running one: " + std::to_string(stale) + "; first tries that failed: " + std::to_string(failed));
    return stale <= allowed;
}

} // namespace

int main()
{
    return runCase("case 9: the directory of the last daemon", hasHeld);
}
