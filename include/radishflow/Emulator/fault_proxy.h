// Declares fault_proxy, which stands between two processes and disturbs what they send.
#pragma once

#include "radishflow/Emulator/listen_options.h"

#include <cstdint>
#include <memory>
#include <string>

namespace radishflow {

enum class proxy_transport { Tcp,
    Udp };

struct fault_proxy_options {
    std::string target; ///< "127.0.0.1:7001".
    proxy_transport transport = proxy_transport::Tcp;
};

/// Relays connections or datagrams to one target until it is destroyed. Thread-safe.
///
/// Rules, by POST /control/faults on the control address, each in force until it is changed:
/// - "delay_ms": time added each way.
/// - "cut": closes all connections and refuses new ones; drops all datagrams.
/// - "half_open": accepts and stays silent; what was sent meanwhile goes on once it is lifted. Drops datagrams.
/// - "one_way": "up" or "down" drops what goes towards or comes from the target, "" ends it. A connection that
///   lost bytes is closed when it ends, so that no stream ever has a hole.
/// - "throttle_bytes_per_s": for each connection and direction; 0 for none. Not for datagrams.
/// - "seed", "cut_probability": cuts so many of the coming connections after a few bytes, or drops so many of
///   the coming datagrams; the same ones for the same seed.
///
/// A target that can't be reached shows to the caller as a connection that is closed, not refused.
class fault_proxy {
public:
    /// Throws Poco::Exception when an address can't be had; an empty control address takes a free port.
    fault_proxy(const listen_options&, const fault_proxy_options&);
    ~fault_proxy();

    std::uint16_t port() const;
    std::uint16_t controlPort() const;

private:
    struct parts;
    std::unique_ptr<parts> m_parts;
};

} // namespace radishflow
