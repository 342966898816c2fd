// Implements the arrivals of returning chats.
#include "arrival_trace.h"

#include <algorithm>
#include <random>

namespace radishflow {

using random_source = std::mt19937_64;

static constexpr double turnsPerChat = 7;
static constexpr double shortestPauseSeconds = 15;
static constexpr double meanFurtherPauseSeconds = 60;
static constexpr double meanMessageTokens = 500;
static constexpr std::uint32_t systemTokens = 600;
static constexpr double meanAnswerTokens = 213;

static std::uint32_t drawTokens(random_source& random, double mean)
{
    // A quarter is fixed, so that no answer is empty.
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
        const std::uint32_t answer = drawTokens(random, meanAnswerTokens);
        if (arrival >= sim_time {})
            turns.push_back({ arrival, chat, context, answer, isReturn });
        context += answer;
        isReturn = true;
        arrival += sim_time { shortestPauseSeconds + std::exponential_distribution { 1 / meanFurtherPauseSeconds }(random) };
    } while (arrival < end && std::bernoulli_distribution { 1 - 1 / turnsPerChat }(random));
}

// Chats that started before the run are part of it, or it would begin with few requests.
static void addSteadyChats(std::vector<chat_turn>& turns, random_source& random, const arrival_options& options)
{
    constexpr sim_time longestChat { 40 * (shortestPauseSeconds + meanFurtherPauseSeconds) };
    std::exponential_distribution pause { options.perSecond / turnsPerChat };
    for (sim_time start = -longestChat; start < options.length; start += sim_time { pause(random) })
        addChat(turns, random, start, options.length);
}

static void addSurge(std::vector<chat_turn>& turns, random_source& random, const arrival_options& options)
{
    if (options.surgeShare <= 0)
        return;
    std::vector<chat_turn> chats(options.surgeChats);
    for (chat_turn& chat : chats)
        chat = { .chat = random(), .contextTokens = systemTokens };
    std::exponential_distribution pause { options.perSecond * options.surgeShare };
    for (sim_time at = options.surgeFrom; at < options.surgeTo; at += sim_time { pause(random) }) {
        chat_turn& chat = chats[random() % chats.size()];
        chat.arrival = at;
        chat.contextTokens += drawTokens(random, meanMessageTokens) / 4;
        chat.answerTokens = drawTokens(random, meanAnswerTokens);
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
