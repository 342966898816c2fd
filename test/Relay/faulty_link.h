// Declares faulty_link, a proxy with which a test injects faults between two processes.
#pragma once

#include "radishflow/Emulator/fault_proxy.h"

#include <cstdint>
#include <string>

namespace radishflow {

/// Forwards connections to one address until it is destroyed. Thread-safe.
class faulty_link {
public:
    explicit faulty_link(const std::string& target);

    std::uint16_t port() const { return m_proxy.port(); }
    /// Sets rules of fault_proxy, given as JSON; rules that aren't named keep their values. Throws when the proxy refuses.
    void set(const std::string& rules);
    /// Clears all faults, so that data is forwarded without delay.
    void clear();

private:
    fault_proxy m_proxy;
};

} // namespace radishflow
