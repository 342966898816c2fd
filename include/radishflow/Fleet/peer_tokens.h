// Declares peer_tokens, the proofs of forwarded requests that other daemons have sent to this one.
#pragma once

#include "radishflow/Support/ids.h"

#include <cstddef>
#include <map>
#include <mutex>
#include <string>

namespace radishflow {

/// The gossip spreads a daemon's token within seconds in a large fleet; a daemon that dispatches requests receives it directly.
/// Thread-safe.
class peer_tokens {
public:
    static constexpr std::size_t maxDaemons = 4096;

    void record(const daemon_id& daemon, const std::string& token)
    {
        const std::lock_guard lock { m_mutex };
        if (m_tokens.size() >= maxDaemons && !m_tokens.contains(daemon))
            m_tokens.clear();
        m_tokens.insert_or_assign(daemon, token);
    }

    bool contains(const daemon_id& daemon, const std::string& token) const
    {
        const std::lock_guard lock { m_mutex };
        const auto found = m_tokens.find(daemon);
        return found != m_tokens.end() && found->second == token;
    }

private:
    mutable std::mutex m_mutex;
    std::map<daemon_id, std::string> m_tokens;
};

} // namespace radishflow
