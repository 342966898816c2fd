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
    std::size_t maxCalls = 16; ///< Bounds the calls of a fleet that starts at once.
};

/// How a daemon responded to the request for its configuration.
enum class start_response {
    Stated,
    None, ///< It refused, or does not know the configuration in force itself.
    TimedOut,
};

/// The platform's store may have come back from a copy that lacks the newest configuration. Daemons that were running hold a newer
/// one, so a daemon that starts asks some of them before it publishes servers. Not thread-safe.
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

    /// Adds hosts on which other daemons may run; known ones are ignored. Those that are known to run are asked first.
    void addHosts(const std::vector<std::string>& hosts, bool isRunning = false)
    {
        for (const std::string& host : hosts) {
            if (m_known.insert(host).second)
                m_unasked.insert(isRunning ? m_unasked.begin() : m_unasked.end(), host);
        }
    }

    /// Records that the platform's list of daemons has been read, so that no further hosts have to be awaited.
    void recordListRead() { m_hasReadList = true; }

    /// Returns the host to ask next; nothing if enough have responded or no further one is known.
    std::optional<std::string> next() const
    {
        if (m_unasked.empty() || m_responses >= m_options.maxResponses || m_calls >= m_options.maxCalls)
            return std::nullopt;
        return m_unasked.front();
    }

    /// Records the response of a host's daemon. One that did not respond in time is asked again after the others.
    void recordResponse(const std::string& host, start_response response)
    {
        ++m_calls;
        std::erase(m_unasked, host);
        if (response == start_response::TimedOut)
            m_unasked.push_back(host);
        m_responses += response == start_response::Stated ? 1 : 0;
    }

    /// Returns whether enough daemons have responded, the whole list was read and no host is left to ask, or the wait is over.
    bool isDone(time_point now) const
    {
        return isWaitOver(now) || m_responses >= m_options.maxResponses || (m_hasReadList && !next());
    }

    bool isWaitOver(time_point now) const { return m_begunAt && now - *m_begunAt >= m_options.maxWait; }

    /// Returns the number of daemons that stated a configuration.
    std::size_t responses() const { return m_responses; }

private:
    start_check_options m_options;
    std::optional<time_point> m_begunAt;
    std::set<std::string> m_known;
    std::vector<std::string> m_unasked; ///< In the order of the calls.
    std::size_t m_calls = 0;
    std::size_t m_responses = 0;
    bool m_hasReadList = false;
};

} // namespace radishflow
