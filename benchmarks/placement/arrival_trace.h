// Declares the generated request trace, which is the same for every policy of a run.
#pragma once

#include "sim_time.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace radishflow {

/// One request of a chat.
struct chat_turn {
    sim_time arrival {};
    std::uint64_t chat = 0; ///< Hash of the chat.
    std::uint32_t contextTokens = 0; ///< Tokens of all earlier turns and the new message.
    std::uint32_t responseTokens = 0;
    bool isReturn = false; ///< The chat has sent an earlier request.
};

struct arrival_options {
    double requestsPerSecond = 23; ///< Requests per second, without the surge.
    sim_time length { 200 };
    double surgeShare = 0; ///< Rate of additional requests from surgeChats chats, as a share of requestsPerSecond.
    std::size_t surgeChats = 30;
    sim_time surgeStart {};
    sim_time surgeEnd {};
    std::uint64_t seed = 1;
};

/// Returns requests sorted by arrival time. Chats have 7 turns on average and pause at least 15 s (75 s on average) between turns.
std::vector<chat_turn> makeArrivals(const arrival_options&);

} // namespace radishflow
