// Declares membership_options: who this daemon is, and the times and limits of the gossip.
#pragma once

#include "radishflow/Membership/peer_address.h"
#include "radishflow/Support/ids.h"
#include "radishflow/Support/monotonic_clock.h"

#include <cstddef>
#include <string>

namespace radishflow {

/// Switches that turn a mechanism off; only tests set them, to show that the mechanism is needed.
struct membership_test_switches {
    bool noSuspicion = false;
    bool noIndirectProbes = false;
    bool noPauseDetection = false;
    bool noDamping = false;
    bool noRegions = false; ///< Probes and judges every member alike.
    bool noAntiEntropy = false;
    bool noRejoin = false; ///< Never probes dead members or unknown seeds.
    bool noRefutation = false;
    bool lastRegisterWriteWins = false;
    bool noRegisterPriority = false; ///< Registers wait for the byte budget as other news do.
};

struct membership_options {
    daemon_id id;
    incarnation_number incarnation; ///< Milliseconds of wall-clock time at the start are a good choice.
    peer_address address;
    std::string http;
    zone_id zone;
    region_id region;

    duration probeInterval = std::chrono::milliseconds { 500 };
    duration pingRetryAfter = std::chrono::milliseconds { 200 };
    duration indirectAfter = std::chrono::milliseconds { 400 };
    duration probeTimeout = std::chrono::milliseconds { 900 };
    std::size_t indirectProbes = 3;
    duration suspicionTimeout = std::chrono::milliseconds { 2000 }; ///< Times log10 of the region's size, at least 1.
    duration reprobeInterval = std::chrono::milliseconds { 400 }; ///< Between probes of a suspect.
    int secondHandSuspicionFactor = 3; ///< How much longer those wait who only heard of a suspicion.
    duration pauseThreshold = std::chrono::milliseconds { 1000 }; ///< A longer time between ticks was a pause of this process.

    duration crossRegionInterval = std::chrono::seconds { 2 };
    duration regionTimeout = std::chrono::seconds { 15 }; ///< Silence after which a region counts as unreachable.
    duration rejoinInterval = std::chrono::seconds { 5 }; ///< Between probes of dead members and unknown seeds.
    duration gossipInterval = std::chrono::milliseconds { 200 };
    std::size_t gossipFanout = 3;
    double crossRegionShare = 0.25; ///< Share of gossip that goes to other regions.
    double retransmitFactor = 1.5; ///< Each daemon sends an update this times log2(members) times.
    duration syncInterval = std::chrono::seconds { 1 };
    duration syncQuietTime = std::chrono::seconds { 2 }; ///< Lets news spread before digests are compared.
    std::size_t syncDatagrams = 6; ///< Most datagrams in one answer.
    std::size_t newsBytesPerSecond = 6000; ///< Bound on gossip and synchronisation sent; probes, loads and registers are not bound.
    std::size_t newsBurstBytes = 24000;

    duration flapHalfLife = std::chrono::seconds { 60 };
    double flapThreshold = 6; ///< Changes of state, decayed, from which on a member flaps.
    duration flapHold = std::chrono::seconds { 10 }; ///< Least time between news of a flapping member.

    duration recordRetention = std::chrono::seconds { 30 }; ///< Records of the dead vanish after this.
    duration deadRetention = std::chrono::hours { 1 };
    duration recordIntervalPerMember = std::chrono::milliseconds { 500 }; ///< Times the members: least time between two versions of a record.

    duration loadInterval = std::chrono::seconds { 2 };
    duration memberLoadLifetime = std::chrono::seconds { 10 };
    duration zoneLoadLifetime = std::chrono::seconds { 20 };

    std::size_t maxMembers = 2000;
    membership_test_switches testSwitches;
};

} // namespace radishflow
