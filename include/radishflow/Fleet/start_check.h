// Declares start_check, with which a daemon that has started finds out whether the tables that it reads are an old copy.
#pragma once

#include "radishflow/Support/monotonic_clock.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace radishflow {

struct start_check_options {
    duration maxWait = std::chrono::milliseconds { 1000 }; ///< For other daemons to be found, and for their responses.
    std::size_t maxResponses = 3; ///< Daemons whose configuration is compared.
};

/// The platform's store may have come back from a copy that lacks the newest configuration. Daemons that ran before know it,
/// so one that starts asks some of them before it serves. Not thread-safe.
class start_check {
public:
    /// `ownHost` is never asked.
    explicit start_check(const std::string& ownHost, const start_check_options& options = {})
        : m_options(options)
        , m_known { ownHost }
    {
    }

    /// Starts the wait, once this daemon has read a table that may be an old copy; later calls have no effect.
    void begin(time_point now)
    {
        if (!m_begunAt)
            m_begunAt = now;
    }

    /// Adds hosts on which other daemons may run; known ones are ignored.
    void addHosts(const std::vector<std::string>& hosts)
    {
        for (const std::string& host : hosts) {
            if (m_known.insert(host).second)
                m_unasked.push_back(host);
        }
    }

    /// Records that the platform's list of daemons has been read, so that no further hosts have to be awaited.
    void recordListRead() { m_hasReadList = true; }

    /// Returns the host to ask next; nothing if enough have responded or no further one is known.
    std::optional<std::string> next() const
    {
        if (m_unasked.empty() || m_responses >= m_options.maxResponses)
            return std::nullopt;
        return m_unasked.front();
    }

    /// Records that the daemon of a host was asked, and whether it stated a configuration.
    void recordAsked(const std::string& host, bool hasConfig)
    {
        std::erase(m_unasked, host);
        m_responses += hasConfig ? 1 : 0;
    }

    /// Returns whether enough daemons, or all that are known, have been asked, or the wait is over.
    bool isDone(time_point now) const
    {
        return isWaitOver(now) || (!next() && (m_responses > 0 || m_hasReadList));
    }

    bool isWaitOver(time_point now) const { return m_begunAt && now - *m_begunAt >= m_options.maxWait; }

    /// Returns the number of daemons that stated a configuration.
    std::size_t responses() const { return m_responses; }

private:
    start_check_options m_options;
    std::optional<time_point> m_begunAt;
    std::set<std::string> m_known;
    std::vector<std::string> m_unasked; ///< In the order in which they became known.
    std::size_t m_responses = 0;
    bool m_hasReadList = false;
};

} // namespace radishflow
