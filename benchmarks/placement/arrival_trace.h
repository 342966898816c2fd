// Declares the arrivals that every policy of a run is given alike.
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
    std::uint32_t contextTokens = 0; ///< All earlier turns and the new message.
    std::uint32_t answerTokens = 0;
    bool isReturn = false; ///< The chat was here before.
};

struct arrival_options {
    double perSecond = 23; ///< Requests a second when settled.
    sim_time length { 200 };
    double surgeShare = 0; ///< Additional requests of a few chats, as a share of perSecond.
    std::size_t surgeChats = 30;
    sim_time surgeFrom {};
    sim_time surgeTo {};
    std::uint64_t seed = 1;
};

/// Chats of 7 turns on average that return after 15 s and more (75 s on average), by time of arrival.
std::vector<chat_turn> makeArrivals(const arrival_options&);

} // namespace radishflow
