// Implements the ramp of a returning server.
#include "radishflow/Placement/chat_server_hash.h"

#include "radishflow/Support/hashing.h"

namespace radishflow {

// The ramp's number is independent of the rank's: otherwise a small ramp would take just those chats that
// rank the server highest, and weights would be off.
static constexpr std::uint64_t rampSalt = 0x72616d7072616d70U;

bool rampTakesChat(std::uint64_t chatHash, std::uint64_t idHash, double ramp)
{
    if (ramp >= 1)
        return true;
    return unitInterval(mixBits(chatServerHash(chatHash, idHash) ^ rampSalt)) < ramp;
}

} // namespace radishflow
