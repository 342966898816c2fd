// Declares faulty_link, a link between two processes that a test disturbs.
#pragma once

#include "radishflow/Emulator/fault_proxy.h"

#include <cstdint>
#include <string>

namespace radishflow {

/// Relays connections to one address until it is destroyed. Thread-safe.
class faulty_link {
public:
    explicit faulty_link(const std::string& target);

    std::uint16_t port() const { return m_proxy.port(); }
    /// Sets rules of fault_proxy, as JSON; those that it doesn't name stay.
    void set(const std::string& rules);
    /// Relays everything at once again.
    void clear();

private:
    fault_proxy m_proxy;
};

} // namespace radishflow
