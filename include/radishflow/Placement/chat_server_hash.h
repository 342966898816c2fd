// Declares the pseudo-random numbers that a chat and a server determine together.
#pragma once

#include <cstdint>

namespace radishflow {

/// Mixes 64 bits so that each input bit changes about half of the output bits.
constexpr std::uint64_t mixBits(std::uint64_t bits)
{
    bits = (bits ^ (bits >> 30U)) * 0xbf58476d1ce4e5b9U;
    bits = (bits ^ (bits >> 27U)) * 0x94d049bb133111ebU;
    return bits ^ (bits >> 31U);
}

/// Number that ranks a server for a chat.
constexpr std::uint64_t chatServerHash(std::uint64_t chatHash, std::uint64_t idHash)
{
    return mixBits(chatHash ^ idHash);
}

/// Whether a server whose ramp stands at this share (0 to 1) takes the chat. A chat that it takes at one
/// share it takes at every higher one.
bool rampTakesChat(std::uint64_t chatHash, std::uint64_t idHash, double ramp);

} // namespace radishflow
