// Declares update_queue, the updates that are still to be disseminated by gossip, with the number of times each
// was sent.
#pragma once

#include "radishflow/Membership/member_list.h"

#include <compare>
#include <cstddef>
#include <map>
#include <string>

namespace radishflow {

/// Holds only the keys of updates; a message gets the state at the time of sending. Not thread-safe.
class update_queue {
public:
    void addMember(const daemon_id&);
    void addRecord(const daemon_id&, const std::string& key);
    void addRegister(const std::string& key);

    bool empty() const { return m_sendCounts.empty(); }
    bool hasRegisters() const { return !m_sendCounts.empty() && m_sendCounts.begin()->first.kind == update_kind::Register; }

    /// Adds updates of at most `maxBytes` bytes to a message: registers first, then those that were sent the
    /// fewest times. Removes updates that were sent `limit` times. Returns an upper bound of the bytes added.
    std::size_t fill(gossip_message&, const member_list&, std::size_t maxBytes, std::size_t limit, bool onlyRegisters);

private:
    enum class update_kind {
        Register,
        Member,
        Record,
    };
    struct update_key {
        update_kind kind = update_kind::Member;
        daemon_id member;
        std::string key;
        friend auto operator<=>(const update_key&, const update_key&) = default;
    };

    static std::size_t append(gossip_message&, const member_list&, const update_key&, std::size_t maxBytes, bool& isObsolete);

    std::map<update_key, std::size_t> m_sendCounts;
};

} // namespace radishflow
