// Declares prompt_directory, which records for the whole fleet which backend servers cache which prompts.
#pragma once

#include "radishflow/Routing/prompt_report.h"

#include <boost/container/static_vector.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace radishflow {

struct prompt_directory_options {
    duration lifetime = std::chrono::seconds { 20 }; ///< Twice the platform's reuse window; after that, little of a cached prompt is reused.
    duration spreadInterval = std::chrono::seconds { 4 }; ///< How much later than the published one a use must be to be published again.
    std::size_t maxPrompts = 8192;
};

/// Maps each prompt to the servers that hold it, or that read it now for a request of this daemon. Uses by this daemon, and those that it receives
/// from others, are published once, so that they reach all daemons although each daemon sends its datagrams to a few only. A use
/// carries its age and is published again only if it is later than the published one by some seconds, so a report ends once no
/// request uses the prompt. What a server has not finished to read is not published, since it cannot be copied yet.
///
/// Answers the load of many daemons before many servers: with `prompt_holder_table`, a daemon knows the holders of the prompts
/// that it has sent itself, and of the few that it received a datagram about. Not thread-safe.
class prompt_directory {
public:
    static constexpr std::size_t maxHolders = 4; ///< Of a prompt; a hot prompt has several.
    struct known_holder {
        std::uint32_t server = 0; ///< serverHashOf() of its id.
        bool hasRead = false; ///< The server has the whole prompt; otherwise it reads the prompt for a request of this daemon.
    };
    using holder_list = boost::container::static_vector<known_holder, maxHolders>;

    explicit prompt_directory(const prompt_directory_options& options = {})
        : m_options(options)
    {
    }

    /// Returns the servers that hold or read a prompt, in no particular order.
    holder_list find(std::uint32_t prompt, time_point now) const;
    /// Records that a request with a prompt was sent to a server, which reads the prompt unless it holds it. Has no effect if enough other
    /// servers hold it.
    void expect(std::uint32_t prompt, std::uint32_t server, time_point now) { record(prompt, server, now, now, false); }
    /// Records that a server has responded to a request with a prompt, so that it has read the prompt.
    void record(std::uint32_t prompt, std::uint32_t server, time_point now) { record(prompt, server, now, now, true); }
    /// Discards what a call of expect() recorded, since the server failed to respond. Other requests may still be read there.
    void withdraw(std::uint32_t prompt, std::uint32_t server);
    /// Records what another daemon has published.
    void merge(const prompt_report& report, time_point now) { record(report.prompt, report.server, now - report.age, now, true); }
    /// Discards a server whose process has ended, with its cache.
    void forgetServer(std::uint32_t server);
    /// Returns at most a number of reports to publish; the others are returned by the next calls.
    std::vector<prompt_report> takeReports(time_point now, std::size_t maxCount);

    std::size_t size() const { return m_prompts.size(); }

private:
    struct holder {
        std::uint32_t server = 0;
        bool hasRead = false;
        int reads = 0; ///< Requests of this daemon for which it reads the prompt, while it has not read it.
        time_point usedAt {};
        std::optional<time_point> publishedUse; ///< Last use that was published.
    };
    using holders = boost::container::static_vector<holder, maxHolders>;

    void record(std::uint32_t prompt, std::uint32_t server, time_point usedAt, time_point now, bool hasRead);
    bool isExpired(const holder& known, time_point now) const { return now - known.usedAt > m_options.lifetime; }
    bool needsPublication(const holder& known) const { return known.hasRead && (!known.publishedUse || known.usedAt - *known.publishedUse >= m_options.spreadInterval); }

    prompt_directory_options m_options;
    std::unordered_map<std::uint32_t, holders> m_prompts;
    std::unordered_set<std::uint32_t> m_unpublished; ///< Prompts with a use to publish.
};

} // namespace radishflow
