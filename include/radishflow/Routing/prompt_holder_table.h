// Declares prompt_holder_table, which backend servers hold the prompts that were asked for lately.
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
    duration lifetime = std::chrono::seconds { 20 }; ///< Twice the platform's reuse window: later, little is left to reuse.
    duration tellInterval = std::chrono::seconds { 1 }; ///< Between two times that others are told of one prompt.
    std::size_t mostPrompts = 4096;
};

/// Answers servers that join: by rank alone they would take over prompts that other servers hold. A prompt stays where it
/// was sent first, as long as that server takes requests, and goes next where it was sent besides. Memory is bounded by
/// the options. Not thread-safe.
class prompt_holder_table {
public:
    explicit prompt_holder_table(prompt_holder_table_options options = {})
        : m_options(options)
    {
    }

    /// Returns the hashes of the servers that hold the prompt, its home first; none when it wasn't asked for lately.
    boost::container::static_vector<std::uint32_t, 2> find(std::uint32_t prompt, time_point now) const;
    /// Notes that a request for the prompt goes to its home.
    void use(const prompt_holder&, time_point now);
    /// Notes that a request for the prompt goes to another server than its home, which stays where it is.
    void useBesides(const prompt_holder&);
    /// Has others told, who by rank alone would look elsewhere once servers come and go.
    void tell(std::uint32_t prompt, time_point now);
    /// Takes what another daemon told; isBetter(theirs, ours) settles where both know a home, alike on every daemon.
    template <typename Better>
    void merge(const prompt_holder& told, time_point now, const Better& isBetter)
    {
        const auto known = m_homes.find(told.prompt);
        if (known == m_homes.end() || now - known->second.usedAt > m_options.lifetime || isBetter(told.server, known->second.server))
            use(told, now);
    }
    /// Returns what is to be told since the last call.
    std::vector<prompt_holder> takeNews();

    std::size_t size() const { return m_homes.size(); }

private:
    struct entry {
        std::uint32_t server = 0;
        std::optional<std::uint32_t> besides; ///< Where it was sent last when its home couldn't take it.
        time_point usedAt {};
        std::optional<time_point> toldAt;
    };

    prompt_holder_table_options m_options;
    std::unordered_map<std::uint32_t, entry> m_homes; ///< By the prompt's hash.
    std::vector<prompt_holder> m_news;
};

} // namespace radishflow
