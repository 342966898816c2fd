// Implements the timing of streams, with one thread per stream and one connection per response.
#include "stream_round.h"

#include "test_fleet.h"

#include <chrono>
#include <thread>

namespace radishflow {

using steady = std::chrono::steady_clock;

static double millisecondsBetween(steady::time_point from, steady::time_point to)
{
    return std::chrono::duration<double, std::milli>(to - from).count();
}

static void readResponse(const round_options& options, const std::string& chat, round_latencies& times)
{
    const auto started = steady::now();
    auto last = started;
    int events = 0;
    bool isComplete = false;
    const http_call_reply reply = httpStream({ .method = "POST",
                                                 .url = "http://" + options.address + "/v1/chat/completions",
                                                 .headers = { { "X-Workspace", "desk" }, { "X-Chat", chat }, { "X-Request-Id", chat }, { "Content-Type", "application/json" } },
                                                 .body = chatBody("pressure at " + chat, options.tokens, true),
                                                 .timeout = std::chrono::seconds { 20 } },
        [&](std::string_view line) {
            isComplete = isComplete || line == "data: [DONE]";
            if (!line.starts_with("data: {"))
                return true;
            const auto now = steady::now();
            (events++ == 0 ? times.firstToken : times.betweenTokens).push_back(millisecondsBetween(last, now));
            last = now;
            return true;
        });
    if (isComplete && reply.status == 200) {
        ++times.completed;
        return;
    }
    ++times.failed;
    if (times.firstError.empty())
        times.firstError = "status " + std::to_string(reply.status) + " after " + std::to_string(events) + " events " + reply.error;
}

round_latencies runRound(const round_options& options)
{
    std::vector<round_latencies> parts(static_cast<std::size_t>(options.streams));
    std::vector<std::thread> callers;
    callers.reserve(parts.size());
    for (int stream = 0; stream < options.streams; ++stream) {
        callers.emplace_back([&, stream] {
            std::this_thread::sleep_for(options.spread * stream / options.streams);
            for (int response = 0; response < options.responses; ++response)
                readResponse(options, "s" + std::to_string(options.streams) + '-' + std::to_string(stream) + '-' + std::to_string(response), parts[static_cast<std::size_t>(stream)]);
        });
    }
    round_latencies all;
    for (std::thread& caller : callers)
        caller.join();
    for (const round_latencies& part : parts) {
        all.firstToken.insert(all.firstToken.end(), part.firstToken.begin(), part.firstToken.end());
        all.betweenTokens.insert(all.betweenTokens.end(), part.betweenTokens.begin(), part.betweenTokens.end());
        all.completed += part.completed;
        all.failed += part.failed;
        if (all.firstError.empty())
            all.firstError = part.firstError;
    }
    return all;
}

} // namespace radishflow
