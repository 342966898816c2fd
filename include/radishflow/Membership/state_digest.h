// Declares state_digest, hashes of everything that daemons should agree on, kept up to date change by change.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace radishflow {

class state_digest {
public:
    static constexpr std::size_t bucketCount = 32;

    /// Returns the bucket of an entry.
    static std::size_t bucketOf(std::uint32_t keyHash) { return keyHash % bucketCount; }

    /// Takes an entry's old hash out and its new one in; 0 stands for no entry.
    void replace(std::uint32_t keyHash, std::uint64_t oldHash, std::uint64_t newHash);

    /// Returns the hash over all buckets; never 0.
    std::uint64_t total() const;

    std::vector<std::uint64_t> buckets() const { return { m_buckets.begin(), m_buckets.end() }; }

    /// Returns one bit for each bucket that differs; all bits if `other` has not one hash a bucket.
    std::uint32_t differingBuckets(const std::vector<std::uint64_t>& other) const;

private:
    std::array<std::uint64_t, bucketCount> m_buckets {};
};

} // namespace radishflow
