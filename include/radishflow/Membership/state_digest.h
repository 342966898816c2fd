// Declares state_digest, incrementally updated hashes of the replicated state, by which daemons find differences.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace radishflow {

class state_digest {
public:
    static constexpr std::size_t bucketCount = 32;

    /// Returns the bucket of the entry with this key hash.
    static std::size_t bucketOf(std::uint32_t keyHash) { return keyHash % bucketCount; }

    /// Replaces an entry's hash in its bucket; 0 stands for no entry.
    void replace(std::uint32_t keyHash, std::uint64_t oldHash, std::uint64_t newHash);

    /// Returns the hash over all buckets; never 0.
    std::uint64_t total() const;

    std::vector<std::uint64_t> buckets() const { return { m_buckets.begin(), m_buckets.end() }; }

    /// Returns a mask of the buckets that differ; all bits are set if `other` doesn't have bucketCount hashes.
    std::uint32_t differingBuckets(const std::vector<std::uint64_t>& other) const;

private:
    std::array<std::uint64_t, bucketCount> m_buckets {};
};

} // namespace radishflow
