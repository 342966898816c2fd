// Computes upper bounds of the encoded sizes of updates.
#include "radishflow/Membership/gossip_message.h"

namespace radishflow {

// In Thrift's compact protocol a 64-bit number takes at most 10 bytes, and a field's header and the length of a
// short string take one byte each.
static constexpr std::size_t numberBound = 11;
static constexpr std::size_t stringOverhead = 3;

std::size_t encodedBound(const member_update& update)
{
    return update.id.value().size() + update.address.value().size() + update.http.size() + update.zone.value().size()
        + update.region.value().size() + 5 * stringOverhead + 2 * numberBound + 4;
}

std::size_t encodedBound(const record_update& update)
{
    return update.id.value().size() + update.key.size() + update.bytes.size() + 3 * stringOverhead + 2 * numberBound + 1;
}

std::size_t encodedBound(const register_update& update)
{
    return update.key.size() + update.value.bytes.size() + 2 * stringOverhead + 2 * numberBound + 1;
}

} // namespace radishflow
