// Declares probe_table, the pings that wait for their answers.
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

/// One ping and what its failure means.
struct probe {
    enum class purpose {
        OwnRegion, ///< Its failure raises a suspicion.
        OtherRegion, ///< Tells only whether the region can be reached.
        Relay, ///< On behalf of another member, which gets the answer.
        Rejoin, ///< Looks for a dead member or a seed that is back.
    };

    static constexpr int indirectStage = 2;

    std::uint64_t sequence = 0;
    daemon_id target; ///< Empty when only the address is known.
    peer_address address;
    purpose reason = purpose::OwnRegion;
    time_point startedAt {};
    int stage = 0; ///< 0 first ping, 1 repeated, indirectStage through others.
    peer_address requester; ///< Relay only.
    std::uint64_t requesterSequence = 0;
};

/// A step that is due for a probe.
struct probe_step {
    enum class action {
        Repeat,
        AskOthers,
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

    /// Registers a probe and returns it with its sequence number; none when too many are open.
    std::optional<probe> start(probe, time_point now);
    /// Returns the steps that are due; failed probes are gone.
    std::vector<probe_step> advance(time_point now);
    /// Takes out the probe that an answer belongs to.
    std::optional<probe> acknowledge(std::uint64_t sequence);
    bool isOpen(const daemon_id& target) const;
    void clear() { m_probes.clear(); }

private:
    static constexpr std::size_t maxOpen = 256;

    const membership_options& m_options;
    std::map<std::uint64_t, probe> m_probes;
    std::uint64_t m_lastSequence = 0;
};

} // namespace radishflow
