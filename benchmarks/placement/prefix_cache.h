// Declares the prefix cache of a modelled engine.
#pragma once

#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

namespace radishflow {

/// Keeps the prefixes used last, up to a number of tokens in all.
class prefix_cache {
public:
    explicit prefix_cache(std::uint64_t capacityTokens)
        : m_capacity(capacityTokens)
    {
    }

    /// Tokens held for the prefix, which counts as used; 0 when there are none.
    std::uint32_t use(std::uint64_t prefix);

    /// Stores a prefix and returns those that had to go.
    std::vector<std::uint64_t> store(std::uint64_t prefix, std::uint32_t tokens);

    void clear();

private:
    struct entry {
        std::uint64_t prefix;
        std::uint32_t tokens;
    };

    std::uint64_t m_capacity;
    std::uint64_t m_used = 0;
    std::list<entry> m_entries; ///< The most recently used first.
    std::unordered_map<std::uint64_t, std::list<entry>::iterator> m_index;
};

} // namespace radishflow
