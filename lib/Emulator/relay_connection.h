// Declares relay_connection, one caller's connection through the fault proxy and the one to the target.
#pragma once

#include "delayed_bytes.h"
#include "proxy_counts.h"
#include "proxy_rules.h"

#include <Poco/Net/StreamSocket.h>

#include <cstdint>
#include <poll.h>
#include <vector>

namespace radishflow {

/// Moves bytes both ways without ever blocking, except for the connect. Not thread-safe.
class relay_connection {
public:
    /// Cuts the connection after so many bytes; 0 for never.
    relay_connection(const Poco::Net::StreamSocket& caller, std::int64_t cutAfterBytes);

    /// Appends the two entries to wait for: the caller's and the target's.
    void addWaits(std::vector<pollfd>& waits, const proxy_rules&) const;

    /// Moves what can be moved; returns false when the connection is to be closed.
    bool step(const pollfd& caller, const pollfd& target, const Poco::Net::SocketAddress& targetAddress,
        const proxy_rules&, time_point now, proxy_counts&);

    /// Returns whether bytes wait for their time.
    bool hasQueued() const { return !m_up.bytes.isEmpty() || !m_down.bytes.isEmpty(); }

private:
    struct direction {
        delayed_bytes bytes;
        bool hasHole = false; ///< Bytes or the end were dropped.
        bool isShut = false; ///< The end has been passed on.
    };

    bool connect(const Poco::Net::SocketAddress& target);
    bool read(Poco::Net::StreamSocket& from, relay_way, const proxy_rules&, time_point now, proxy_counts&);
    static bool write(direction&, Poco::Net::StreamSocket& to, const proxy_rules&, time_point now);

    Poco::Net::StreamSocket m_caller;
    Poco::Net::StreamSocket m_target;
    bool m_isConnected = false;
    direction m_up;
    direction m_down;
    std::int64_t m_cutAfterBytes;
    std::int64_t m_bytes = 0;
};

} // namespace radishflow
