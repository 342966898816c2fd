// Declares the prefix cache of a modelled engine.
#pragma once

#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

namespace radishflow {

/// LRU cache of prefixes, bounded by the total number of tokens.
class prefix_cache {
public:
    explicit prefix_cache(std::uint64_t capacityTokens)
        : m_capacity(capacityTokens)
    {
    }

    /// Marks the prefix as used and returns its cached tokens, or 0 if it is not cached.
    std::uint32_t use(std::uint64_t prefix);

    /// Stores a prefix and returns the evicted prefixes.
    std::vector<std::uint64_t> store(std::uint64_t prefix, std::uint32_t tokens);

    void clear();

private:
    struct entry {
        std::uint64_t prefix;
        std::uint32_t tokens;
    };

    std::uint64_t m_capacity;
    std::uint64_t m_used = 0;
    std::list<entry> m_entries; ///< Most recently used first.
    std::unordered_map<std::uint64_t, std::list<entry>::iterator> m_index;
};

} // namespace radishflow
