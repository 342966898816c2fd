// Declares probe_schedule, which selects the members to probe and to send gossip to.
#pragma once

#include "radishflow/Membership/member_list.h"

#include <algorithm>
#include <random>
#include <vector>

namespace radishflow {

/// Alternates between the two successors on a ring of hashed ids, which bounds the time until a dead member is
/// probed, and a shuffled round over all members, so that a member isn't judged by its ring neighbours alone.
/// Not thread-safe.
template <std::uniform_random_bit_generator Random>
class probe_schedule {
public:
    probe_schedule(const membership_options& options, Random& random)
        : m_options(options)
        , m_random(random)
    {
    }

    /// Returns the next member of this daemon's region to probe, or null if there is none.
    const member_entry* next(const member_list& list)
    {
        ++m_turn;
        if (m_turn % 2 == 0)
            return nextOnRing(list, m_turn / 2 % 2);
        return nextInRound(list, [](const member_entry&) { return true; });
    }

    /// Returns the next member of the shuffled round for which matches(entry) holds, or null if there is none. The others are left
    /// out of the round.
    template <typename Predicate>
    const member_entry* nextInRound(const member_list& list, Predicate&& matches)
    {
        for (int refills = 0; refills < 2; ++refills) {
            while (!m_round.empty()) {
                const member_entry* entry = list.find(m_round.back());
                m_round.pop_back();
                if (entry && isProbeCandidate(*entry) && matches(*entry))
                    return entry;
            }
            for (const auto& [id, entry] : list.entries()) {
                if (isProbeCandidate(entry))
                    m_round.push_back(id);
            }
            std::shuffle(m_round.begin(), m_round.end(), m_random);
        }
        return nullptr;
    }

    /// Returns up to `count` distinct random members, other than this daemon, for which matches(entry) holds.
    template <typename Predicate>
    std::vector<const member_entry*> sample(const member_list& list, std::size_t count, Predicate&& matches)
    {
        std::vector<const member_entry*> candidates;
        for (const auto& [id, entry] : list.entries()) {
            if (id != m_options.id && matches(entry))
                candidates.push_back(&entry);
        }
        count = std::min(count, candidates.size());
        for (std::size_t i = 0; i < count; ++i)
            std::swap(candidates[i], candidates[i + below(candidates.size() - i)]);
        candidates.resize(count);
        return candidates;
    }

    /// Returns a uniformly distributed number below `bound`, which must be at least 1.
    std::size_t below(std::size_t bound)
    {
        return std::uniform_int_distribution<std::size_t> { 0, bound - 1 }(m_random);
    }

    /// Returns true with the given probability.
    bool drawBernoulli(double probability) { return std::bernoulli_distribution { probability }(m_random); }

private:
    bool isProbeCandidate(const member_entry& entry) const
    {
        // Suspects of this daemon are probed until they answer or are declared dead.
        if (entry.update.id == m_options.id || entry.update.status.isTerminal() || entry.isOwnSuspicion)
            return false;
        return m_options.testSwitches.noRegions || entry.update.region == m_options.region;
    }

    const member_entry* nextOnRing(const member_list& list, std::size_t neighbour)
    {
        std::vector<std::pair<std::uint32_t, const member_entry*>> ring;
        const std::uint32_t own = member_list::memberHash(m_options.id);
        for (const auto& [id, entry] : list.entries()) {
            if (isProbeCandidate(entry))
                ring.emplace_back(entry.keyHash - own, &entry); // The unsigned difference is the distance on the ring.
        }
        if (ring.empty())
            return nullptr;
        neighbour = std::min(neighbour, ring.size() - 1);
        std::nth_element(ring.begin(), ring.begin() + static_cast<std::ptrdiff_t>(neighbour), ring.end());
        return ring[neighbour].second;
    }

    const membership_options& m_options;
    Random& m_random;
    std::vector<daemon_id> m_round;
    std::size_t m_turn = 0;
};

} // namespace radishflow
