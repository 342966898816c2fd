// Declares probe_table, the probes that have been neither answered nor timed out.
#pragma once

#include "radishflow/Membership/membership_options.h"
#include "radishflow/Membership/peer_address.h"
#include "radishflow/Support/ids.h"
#include "radishflow/Support/monotonic_clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace radishflow {

/// A probe of one member or address, with its purpose.
struct probe {
    enum class purpose {
        OwnRegion, ///< Its failure raises a suspicion.
        OtherRegion, ///< Only shows whether the region is reachable.
        Relay, ///< On behalf of another member, to which the Ack is forwarded.
        Rejoin, ///< Checks whether a dead member or an unknown seed is running.
    };

    static constexpr int indirectStage = 2;

    std::uint64_t sequence = 0;
    daemon_id target; ///< Empty when only the address is known.
    peer_address address;
    purpose reason = purpose::OwnRegion;
    time_point startedAt {};
    int stage = 0; ///< 0: first ping sent; 1: ping repeated; indirectStage: other members were asked to ping.
    peer_address requester; ///< Member that requested the ping; set for Relay only.
    std::uint64_t requesterSequence = 0;
};

/// An action that is due for a probe.
struct probe_step {
    enum class action {
        Repeat,
        ProbeIndirectly,
        Fail,
    };

    action due = action::Repeat;
    probe subject;
};

/// Not thread-safe.
class probe_table {
public:
    explicit probe_table(const membership_options& options)
        : m_options(options)
    {
    }

    /// Adds a probe and returns it with its sequence number; nothing if `maxOpen` probes are open.
    std::optional<probe> start(probe, time_point now);
    /// Returns the steps that are due and removes the probes that timed out.
    std::vector<probe_step> advance(time_point now);
    /// Removes and returns the probe with this sequence number; nothing if there is none.
    std::optional<probe> acknowledge(std::uint64_t sequence);
    /// Returns whether a probe of purpose OwnRegion is open for the target.
    bool isOpen(const daemon_id& target) const;
    void clear() { m_probes.clear(); }

private:
    static constexpr std::size_t maxOpen = 256;

    const membership_options& m_options;
    std::map<std::uint64_t, probe> m_probes;
    std::uint64_t m_lastSequence = 0;
};

} // namespace radishflow
