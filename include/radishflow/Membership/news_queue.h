// Declares news_queue, which news are still to be passed on and how often each was sent.
#pragma once

#include "radishflow/Membership/member_list.h"

#include <compare>
#include <cstddef>
#include <map>
#include <string>

namespace radishflow {

/// Holds names only; what is sent is the state at the time of sending. Not thread-safe.
class news_queue {
public:
    void addMember(const daemon_id&);
    void addRecord(const daemon_id&, const std::string& key);
    void addRegister(const std::string& key);

    bool empty() const { return m_sends.empty(); }
    bool hasRegisters() const { return !m_sends.empty() && m_sends.begin()->first.kind == news_kind::Register; }

    /// Adds news to a message, registers first, then the least sent, up to the given size of all news in it;
    /// forgets what was sent `limit` times. Returns the bound of the bytes added.
    std::size_t fill(gossip_message&, const member_list&, std::size_t maxBytes, std::size_t limit, bool onlyRegisters);

private:
    enum class news_kind {
        Register,
        Member,
        Record,
    };
    struct news_name {
        news_kind kind = news_kind::Member;
        daemon_id member;
        std::string key;
        friend auto operator<=>(const news_name&, const news_name&) = default;
    };

    static std::size_t append(gossip_message&, const member_list&, const news_name&, std::size_t maxBytes, bool& isGone);

    std::map<news_name, std::size_t> m_sends;
};

} // namespace radishflow
