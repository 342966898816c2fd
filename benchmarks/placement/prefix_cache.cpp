// Implements the prefix cache of a modelled engine.
#include "prefix_cache.h"

#include <algorithm>

namespace radishflow {

std::uint32_t prefix_cache::use(std::uint64_t prefix)
{
    const auto found = m_index.find(prefix);
    if (found == m_index.end())
        return 0;
    m_entries.splice(m_entries.begin(), m_entries, found->second);
    return found->second->tokens;
}

std::vector<std::uint64_t> prefix_cache::store(std::uint64_t prefix, std::uint32_t tokens)
{
    if (use(prefix) == 0) {
        m_entries.push_front({ prefix, 0 });
        m_index[prefix] = m_entries.begin();
    }
    entry& stored = m_entries.front();
    const std::uint32_t longer = std::max(tokens, stored.tokens);
    m_used += longer - stored.tokens;
    stored.tokens = longer;
    std::vector<std::uint64_t> removed;
    while (m_used > m_capacity) {
        m_used -= m_entries.back().tokens;
        removed.push_back(m_entries.back().prefix);
        m_index.erase(m_entries.back().prefix);
        m_entries.pop_back();
    }
    return removed;
}

void prefix_cache::clear()
{
    m_entries.clear();
    m_index.clear();
    m_used = 0;
}

} // namespace radishflow
