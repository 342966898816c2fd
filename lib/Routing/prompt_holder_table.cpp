// Implements the memory of which servers hold the prompts that were asked for lately.
#include "radishflow/Routing/prompt_holder_table.h"

#include <utility>

namespace radishflow {

boost::container::static_vector<std::uint32_t, 2> prompt_holder_table::find(std::uint32_t prompt, time_point now) const
{
    const auto found = m_homes.find(prompt);
    if (found == m_homes.end() || now - found->second.usedAt > m_options.lifetime)
        return {};
    if (found->second.besides)
        return { found->second.server, *found->second.besides };
    return { found->second.server };
}

// Where the memory is full of prompts in use, one more goes by rank, as without this memory.
void prompt_holder_table::use(const prompt_holder& home, time_point now)
{
    if (m_homes.size() >= m_options.mostPrompts && !m_homes.contains(home.prompt)) {
        std::erase_if(m_homes, [&](const auto& each) { return now - each.second.usedAt > m_options.lifetime; });
        if (m_homes.size() >= m_options.mostPrompts)
            return;
    }
    const auto [place, isNew] = m_homes.try_emplace(home.prompt, entry { .server = home.server });
    entry& known = place->second;
    if (known.server != home.server) {
        known.toldAt.reset();
        known.besides = std::exchange(known.server, home.server);
    }
    known.usedAt = now;
}

void prompt_holder_table::useBesides(const prompt_holder& other)
{
    const auto found = m_homes.find(other.prompt);
    if (found != m_homes.end() && found->second.server != other.server)
        found->second.besides = other.server;
}

void prompt_holder_table::tell(std::uint32_t prompt, time_point now)
{
    const auto found = m_homes.find(prompt);
    if (found == m_homes.end() || (found->second.toldAt && now - *found->second.toldAt < m_options.tellInterval))
        return;
    found->second.toldAt = now;
    m_news.push_back({ .prompt = prompt, .server = found->second.server });
}

std::vector<prompt_holder> prompt_holder_table::takeNews()
{
    return std::exchange(m_news, {});
}

} // namespace radishflow
