// Implements runEventRound.
#include "event_round.h"

#include "Support/http_call.h"
#include "test_request.h"

#include <algorithm>
#include <atomic>
#include <mutex>
#include <thread>

namespace radishflow {

using steady = std::chrono::steady_clock;

// Measures from the time at which a stream was due, so that the delay that a slow response causes to later streams is included.
event_round runEventRound(const event_round_options& options)
{
    event_round round;
    std::mutex mutex;
    std::atomic<int> next = 0;
    const auto start = steady::now();
    const auto interval = std::chrono::duration<double> { 1 / options.streamsPerSecond };
    const int count = static_cast<int>(options.streamsPerSecond * static_cast<double>(options.length.count()));
    std::vector<std::thread> callers;
    callers.reserve(static_cast<std::size_t>(options.callers));
    for (int caller = 0; caller < options.callers; ++caller) {
        callers.emplace_back([&] {
            for (int number = next++; number < count; number = next++) {
                const auto due = start + std::chrono::duration_cast<steady::duration>(interval * number);
                std::this_thread::sleep_until(due);
                double firstEventLatency = -1;
                const http_call_reply reply = httpStream({ .url = "http://" + options.address + "/stream/x", .headers = headersOf({ .id = "b" + std::to_string(number), .key = options.key, .timeLeft = std::chrono::seconds { 9 } }) },
                    [&](std::string_view) {
                        if (firstEventLatency < 0)
                            firstEventLatency = std::chrono::duration<double, std::milli>(steady::now() - due).count();
                        return true;
                    });
                const std::lock_guard lock { mutex };
                if (reply.status == 200 && firstEventLatency >= 0)
                    round.firstEvent.push_back(firstEventLatency);
                else
                    ++round.failed;
            }
        });
    }
    for (std::thread& callerThread : callers)
        callerThread.join();
    std::sort(round.firstEvent.begin(), round.firstEvent.end());
    return round;
}

} // namespace radishflow
