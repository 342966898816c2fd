// Implements the table of backend servers whose caches hold recently requested prompts.
#include "radishflow/Routing/prompt_holder_table.h"

#include <utility>

namespace radishflow {

boost::container::static_vector<std::uint32_t, 2> prompt_holder_table::find(std::uint32_t prompt, time_point now) const
{
    const auto found = m_entries.find(prompt);
    if (found == m_entries.end() || now - found->second.usedAt > m_options.lifetime)
        return {};
    if (found->second.secondary)
        return { found->second.primary, *found->second.secondary };
    return { found->second.primary };
}

// When the table is full of prompts in use, further prompts are not recorded and are routed by rank alone.
void prompt_holder_table::recordPrimary(const prompt_holder& holder, time_point now)
{
    if (m_entries.size() >= m_options.maxPrompts && !m_entries.contains(holder.prompt)) {
        std::erase_if(m_entries, [&](const auto& item) { return now - item.second.usedAt > m_options.lifetime; });
        if (m_entries.size() >= m_options.maxPrompts)
            return;
    }
    const auto [position, isNew] = m_entries.try_emplace(holder.prompt, entry { .primary = holder.server });
    entry& recorded = position->second;
    if (recorded.primary != holder.server) {
        recorded.publishedAt.reset();
        recorded.secondary = std::exchange(recorded.primary, holder.server);
    }
    recorded.usedAt = now;
}

void prompt_holder_table::recordSecondary(const prompt_holder& holder)
{
    const auto found = m_entries.find(holder.prompt);
    if (found != m_entries.end() && found->second.primary != holder.server)
        found->second.secondary = holder.server;
}

void prompt_holder_table::queueUpdate(std::uint32_t prompt, time_point now)
{
    const auto found = m_entries.find(prompt);
    if (found == m_entries.end() || (found->second.publishedAt && now - *found->second.publishedAt < m_options.publishInterval))
        return;
    found->second.publishedAt = now;
    m_updates.push_back({ .prompt = prompt, .server = found->second.primary });
}

std::vector<prompt_holder> prompt_holder_table::takeUpdates()
{
    return std::exchange(m_updates, {});
}

} // namespace radishflow
