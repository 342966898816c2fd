// Implements the directory of the backend servers that cache prompts.
#include "radishflow/Routing/prompt_directory.h"

#include <algorithm>

namespace radishflow {

prompt_directory::holder_list prompt_directory::find(std::uint32_t prompt, time_point now) const
{
    holder_list found;
    const auto known = m_prompts.find(prompt);
    if (known == m_prompts.end())
        return found;
    for (const holder& server : known->second) {
        if (!isExpired(server, now))
            found.push_back({ .server = server.server, .hasRead = server.hasRead });
    }
    return found;
}

// The holder that was used least recently yields to a new one, as in the servers' caches. A read that may yet fail displaces no server that has
// read the prompt.
void prompt_directory::record(std::uint32_t prompt, std::uint32_t server, time_point usedAt, time_point now, bool hasRead)
{
    if (now - usedAt > m_options.lifetime)
        return;
    if (m_prompts.size() >= m_options.maxPrompts && !m_prompts.contains(prompt)) {
        std::erase_if(m_prompts, [&](const auto& entry) { return std::all_of(entry.second.begin(), entry.second.end(), [&](const holder& known) { return isExpired(known, now); }); });
        if (m_prompts.size() >= m_options.maxPrompts)
            return;
    }
    holders& known = m_prompts[prompt];
    auto found = std::find_if(known.begin(), known.end(), [&](const holder& entry) { return entry.server == server; });
    if (found == known.end()) {
        const auto oldest = std::min_element(known.begin(), known.end(), [](const holder& left, const holder& right) { return left.usedAt < right.usedAt; });
        if (known.size() < maxHolders) {
            known.push_back({ .server = server });
            found = known.end() - 1;
        } else {
            if (oldest->usedAt >= usedAt || (!hasRead && oldest->hasRead && !isExpired(*oldest, now)))
                return;
            *oldest = { .server = server };
            found = oldest;
        }
    } else if (isExpired(*found, now)) {
        *found = { .server = server };
    }
    found->usedAt = std::max(found->usedAt, usedAt);
    found->hasRead = found->hasRead || hasRead;
    found->reads += hasRead ? 0 : 1;
    if (needsPublication(*found))
        m_unpublished.insert(prompt);
}

void prompt_directory::withdraw(std::uint32_t prompt, std::uint32_t server)
{
    const auto known = m_prompts.find(prompt);
    if (known == m_prompts.end())
        return;
    holders& servers = known->second;
    const auto found = std::find_if(servers.begin(), servers.end(), [&](const holder& entry) { return entry.server == server && !entry.hasRead; });
    if (found != servers.end() && --found->reads <= 0)
        servers.erase(found);
}

void prompt_directory::forgetServer(std::uint32_t server)
{
    for (auto& [prompt, known] : m_prompts)
        known.erase(std::remove_if(known.begin(), known.end(), [&](const holder& entry) { return entry.server == server; }), known.end());
}

std::vector<prompt_report> prompt_directory::takeReports(time_point now, std::size_t maxCount)
{
    std::vector<prompt_report> reports;
    while (!m_unpublished.empty() && reports.size() + maxHolders <= maxCount) {
        const std::uint32_t prompt = m_unpublished.extract(m_unpublished.begin()).value();
        const auto known = m_prompts.find(prompt);
        if (known == m_prompts.end())
            continue;
        for (holder& server : known->second) {
            if (isExpired(server, now) || !needsPublication(server))
                continue;
            server.publishedUse = server.usedAt;
            reports.push_back({ .prompt = prompt, .server = server.server, .age = now - server.usedAt });
        }
    }
    return reports;
}

} // namespace radishflow
