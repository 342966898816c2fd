// Implements the choice of the chats that a ramping server admits.
#include "radishflow/Placement/chat_server_hash.h"

#include "radishflow/Support/hashing.h"

namespace radishflow {

// Makes the ramp's hash independent of the rendezvous hash. With the same hash, a small ramp would admit exactly the
// chats that rank the server highest, and the shares would not match the weights.
static constexpr std::uint64_t rampSalt = 0x72616d7072616d70U;

bool rampAdmitsChat(std::uint64_t chatHash, std::uint64_t idHash, double ramp)
{
    if (ramp >= 1)
        return true;
    return unitInterval(mixBits(chatServerHash(chatHash, idHash) ^ rampSalt)) < ramp;
}

} // namespace radishflow
