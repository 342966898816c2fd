// Declares member_list, the replicated state of members and registers. It handles no timeouts and no messages.
#pragma once

#include "radishflow/Membership/member_entry.h"
#include "radishflow/Membership/membership_options.h"
#include "radishflow/Membership/register_map.h"
#include "radishflow/Membership/state_digest.h"

#include <map>
#include <set>
#include <vector>

namespace radishflow {

/// Merges are idempotent and commute. Not thread-safe.
class member_list {
public:
    using entry_map = std::map<daemon_id, member_entry>;

    explicit member_list(const membership_options& options)
        : m_options(options)
    {
    }

    /// Merges an update; returns whether the status increased. Unknown members that are dead or left are ignored.
    bool merge(const member_update&, time_point now);
    /// Merges a record; returns whether it changed the state.
    bool merge(const record_update&);
    /// Merges a register; returns whether it changed the state.
    bool merge(const register_update&);

    const entry_map& entries() const { return m_entries; }
    member_entry* find(const daemon_id&);
    const member_entry* find(const daemon_id&) const;
    const register_map& registers() const { return m_registers; }
    const state_digest& digest() const { return m_digest; }
    /// Returns the ids of the members in state Suspect.
    const std::set<daemon_id>& suspects() const { return m_suspects; }

    /// Returns the number of a member's changes of state, decayed with the half-life flapHalfLife.
    double flapsOf(const member_entry&, time_point now) const;

    /// Removes the records of members that have been dead or left for recordRetention, and the members themselves
    /// after deadRetention.
    void removeExpired(time_point now);

    /// Returns the number of members that are neither dead nor left, including this daemon.
    std::size_t liveCount() const { return m_liveCount; }
    /// Returns the number of such members in one region.
    std::size_t liveCount(const region_id&) const;

    /// Returns the digests of all entries in the buckets selected by the mask.
    std::vector<entry_digest> digestsOf(std::uint32_t bucketMask) const;

    /// Calls visitMember(entry) or visitRegister(key, value) for the entries with this key hash.
    template <typename VisitMember, typename VisitRegister>
    void visit(std::uint32_t keyHash, VisitMember&& visitMember, VisitRegister&& visitRegister) const
    {
        for (const auto& [id, entry] : m_entries) {
            if (entry.keyHash == keyHash)
                visitMember(entry);
        }
        for (const auto& [key, value] : m_registers) {
            if (registerHash(key) == keyHash)
                visitRegister(key, value);
        }
    }

    static std::uint32_t memberHash(const daemon_id&);
    static std::uint32_t registerHash(const std::string& key);

private:
    void countFlap(member_entry&, time_point now) const;
    void restartEvidence(member_entry&, time_point now) const;
    void refreshDigest(member_entry&);
    void recount();

    const membership_options& m_options;
    entry_map m_entries;
    register_map m_registers;
    state_digest m_digest;
    std::size_t m_liveCount = 0;
    std::map<region_id, std::size_t> m_liveByRegion;
    std::set<daemon_id> m_suspects;
};

} // namespace radishflow
