// Implements the generation of request traces.
#include "arrival_trace.h"

#include <algorithm>
#include <random>

namespace radishflow {

using random_source = std::mt19937_64;

static constexpr double turnsPerChat = 7;
static constexpr double minPauseSeconds = 15;
static constexpr double meanAdditionalPauseSeconds = 60;
static constexpr double meanMessageTokens = 500;
static constexpr std::uint32_t systemTokens = 600;
static constexpr double meanResponseTokens = 213;

static std::uint32_t drawTokens(random_source& random, double mean)
{
    // A quarter of the mean is a fixed part, so that no response is empty.
    return static_cast<std::uint32_t>(mean / 4 + std::exponential_distribution { 4 / (3 * mean) }(random));
}

static void addChat(std::vector<chat_turn>& turns, random_source& random, sim_time start, sim_time end)
{
    const std::uint64_t chat = random();
    std::uint32_t context = systemTokens;
    sim_time arrival = start;
    bool isReturn = false;
    do {
        context += drawTokens(random, meanMessageTokens);
        const std::uint32_t answer = drawTokens(random, meanResponseTokens);
        if (arrival >= sim_time {})
            turns.push_back({ arrival, chat, context, answer, isReturn });
        context += answer;
        isReturn = true;
        arrival += sim_time { minPauseSeconds + std::exponential_distribution { 1 / meanAdditionalPauseSeconds }(random) };
    } while (arrival < end && std::bernoulli_distribution { 1 - 1 / turnsPerChat }(random));
}

// Includes chats that started before the run; otherwise the request rate would be too low at its start.
static void addSteadyChats(std::vector<chat_turn>& turns, random_source& random, const arrival_options& options)
{
    constexpr sim_time maxChatLength { 40 * (minPauseSeconds + meanAdditionalPauseSeconds) };
    std::exponential_distribution pause { options.requestsPerSecond / turnsPerChat };
    for (sim_time start = -maxChatLength; start < options.length; start += sim_time { pause(random) })
        addChat(turns, random, start, options.length);
}

static void addSurge(std::vector<chat_turn>& turns, random_source& random, const arrival_options& options)
{
    if (options.surgeShare <= 0)
        return;
    std::vector<chat_turn> chats(options.surgeChats);
    for (chat_turn& chat : chats)
        chat = { .chat = random(), .contextTokens = systemTokens };
    std::exponential_distribution pause { options.requestsPerSecond * options.surgeShare };
    for (sim_time at = options.surgeStart; at < options.surgeEnd; at += sim_time { pause(random) }) {
        chat_turn& chat = chats[random() % chats.size()];
        chat.arrival = at;
        chat.contextTokens += drawTokens(random, meanMessageTokens) / 4;
        chat.responseTokens = drawTokens(random, meanResponseTokens);
        turns.push_back(chat);
        chat.isReturn = true;
    }
}

std::vector<chat_turn> makeArrivals(const arrival_options& options)
{
    random_source random { options.seed };
    std::vector<chat_turn> turns;
    addSteadyChats(turns, random, options);
    addSurge(turns, random, options);
    std::sort(turns.begin(), turns.end(), [](const chat_turn& a, const chat_turn& b) { return a.arrival < b.arrival; });
    return turns;
}

} // namespace radishflow
