// Declares the hashes that rank servers for a chat and decide which chats a ramping server admits.
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

/// Returns the rendezvous hash of a chat and a server.
constexpr std::uint64_t chatServerHash(std::uint64_t chatHash, std::uint64_t idHash)
{
    return mixBits(chatHash ^ idHash);
}

/// Returns whether a server admits the chat at the given ramp (0 to 1). Monotonic: a chat admitted at one ramp is
/// admitted at every higher one.
bool rampAdmitsChat(std::uint64_t chatHash, std::uint64_t idHash, double ramp);

} // namespace radishflow
