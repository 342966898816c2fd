// Implements state_digest.
#include "radishflow/Membership/state_digest.h"

#include "radishflow/Support/hashing.h"

#include <string_view>

namespace radishflow {

void state_digest::replace(std::uint32_t keyHash, std::uint64_t oldHash, std::uint64_t newHash)
{
    // XOR makes the hash independent of the order in which entries were added.
    m_buckets[bucketOf(keyHash)] ^= oldHash ^ newHash;
}

std::uint64_t state_digest::total() const
{
    const std::string_view bytes(reinterpret_cast<const char*>(m_buckets.data()), sizeof(m_buckets));
    const std::uint64_t hash = stableHash(bytes);
    return hash == 0 ? 1 : hash;
}

std::uint32_t state_digest::differingBuckets(const std::vector<std::uint64_t>& other) const
{
    if (other.size() != bucketCount)
        return ~std::uint32_t { 0 };
    std::uint32_t mask = 0;
    for (std::size_t i = 0; i < bucketCount; ++i) {
        if (m_buckets[i] != other[i])
            mask |= std::uint32_t { 1 } << i;
    }
    return mask;
}

} // namespace radishflow
