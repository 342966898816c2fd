// Declares prompt_holder_table, which records the backend servers whose caches hold recently requested prompts.
#pragma once

#include "radishflow/Routing/prompt_holder.h"
#include "radishflow/Support/monotonic_clock.h"

#include <boost/container/static_vector.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace radishflow {

struct prompt_holder_table_options {
    duration lifetime = std::chrono::seconds { 20 }; ///< Twice the platform's reuse window; after that, little of a cached prompt is reused.
    duration publishInterval = std::chrono::seconds { 1 }; ///< Minimum time between two updates for the same prompt.
    std::size_t maxPrompts = 4096;
};

/// Maps each recently requested prompt to a primary and a secondary holder.
///
/// With rendezvous ranks alone, servers that join would take over prompts that other servers hold. With this table, a
/// prompt stays at the server that received it first for as long as that server accepts requests, and moves to its
/// secondary holder next. The options limit the memory. Not thread-safe.
class prompt_holder_table {
public:
    explicit prompt_holder_table(prompt_holder_table_options options = {})
        : m_options(options)
    {
    }

    /// Returns the hashes of the servers that hold the prompt, the primary holder first. Returns none if the prompt was
    /// not requested within the lifetime.
    boost::container::static_vector<std::uint32_t, 2> find(std::uint32_t prompt, time_point now) const;
    /// Records the primary holder of a prompt and the time of a request for it. A different earlier primary holder
    /// becomes the secondary one.
    void recordPrimary(const prompt_holder&, time_point now);
    /// Records that a request for the prompt went to the given server. Has no effect if it is the primary holder.
    void recordSecondary(const prompt_holder&);
    /// Queues an update about the primary holder for other daemons, at most one per publish interval. Without it, they
    /// would choose by rank alone once servers join or leave.
    void queueUpdate(std::uint32_t prompt, time_point now);
    /// Merges an update of another daemon. If both daemons have recorded a primary holder, isPreferred(theirs, ours) decides;
    /// it must give the same result on all daemons.
    template <typename Preference>
    void merge(const prompt_holder& update, time_point now, const Preference& isPreferred)
    {
        const auto found = m_entries.find(update.prompt);
        if (found == m_entries.end() || now - found->second.usedAt > m_options.lifetime || isPreferred(update.server, found->second.primary))
            recordPrimary(update, now);
    }
    /// Returns the updates queued since the last call.
    std::vector<prompt_holder> takeUpdates();

    std::size_t size() const { return m_entries.size(); }

private:
    struct entry {
        std::uint32_t primary = 0;
        std::optional<std::uint32_t> secondary; ///< Previous primary holder, or the last server used because the primary holder was unavailable.
        time_point usedAt {};
        std::optional<time_point> publishedAt;
    };

    prompt_holder_table_options m_options;
    std::unordered_map<std::uint32_t, entry> m_entries; ///< Keyed by the prompt's hash.
    std::vector<prompt_holder> m_updates;
};

} // namespace radishflow
