// Implements a round of streams.
#include "event_round.h"

#include "Support/http_call.h"
#include "test_request.h"

#include <algorithm>
#include <atomic>
#include <mutex>
#include <thread>

namespace radishflow {

using steady = std::chrono::steady_clock;

// Times count from when a stream was due, so that a slow answer can't hide those that wait behind it.
event_round runEventRound(const event_round_options& options)
{
    event_round round;
    std::mutex mutex;
    std::atomic<int> next = 0;
    const auto begin = steady::now();
    const auto interval = std::chrono::duration<double> { 1 / options.streamsPerSecond };
    const int count = static_cast<int>(options.streamsPerSecond * static_cast<double>(options.length.count()));
    std::vector<std::thread> callers;
    callers.reserve(static_cast<std::size_t>(options.callers));
    for (int caller = 0; caller < options.callers; ++caller) {
        callers.emplace_back([&] {
            for (int number = next++; number < count; number = next++) {
                const auto due = begin + std::chrono::duration_cast<steady::duration>(interval * number);
                std::this_thread::sleep_until(due);
                double first = -1;
                const http_call_reply reply = httpStream({ .url = "http://" + options.address + "/stream/x", .headers = headersOf({ .id = "b" + std::to_string(number), .key = options.key, .timeLeft = std::chrono::seconds { 9 } }) },
                    [&](std::string_view) {
                        if (first < 0)
                            first = std::chrono::duration<double, std::milli>(steady::now() - due).count();
                        return true;
                    });
                const std::lock_guard lock { mutex };
                if (reply.status == 200 && first >= 0)
                    round.firstEvent.push_back(first);
                else
                    ++round.failed;
            }
        });
    }
    for (std::thread& each : callers)
        each.join();
    std::sort(round.firstEvent.begin(), round.firstEvent.end());
    return round;
}

} // namespace radishflow
