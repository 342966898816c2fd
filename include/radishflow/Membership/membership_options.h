// Declares membership_options: this daemon's identity, and the intervals, timeouts and limits of the protocol.
#pragma once

#include "radishflow/Membership/peer_address.h"
#include "radishflow/Support/ids.h"
#include "radishflow/Support/monotonic_clock.h"

#include <cstddef>
#include <string>

namespace radishflow {

/// Switches that disable a mechanism. Only tests set them, to show that the mechanism is needed.
struct membership_test_switches {
    bool noSuspicion = false;
    bool noIndirectProbes = false;
    bool noPauseDetection = false;
    bool noDamping = false;
    bool noRegions = false; ///< Treats members of all regions as members of the own region.
    bool noAntiEntropy = false;
    bool noRejoin = false; ///< Never probes dead members or unknown seeds.
    bool noRefutation = false;
    bool lastRegisterWriteWins = false;
    bool noRegisterPriority = false; ///< Registers are subject to the byte budget like other updates.
};

struct membership_options {
    daemon_id id;
    incarnation_number incarnation; ///< Should increase with each start, such as the wall-clock time of the start in milliseconds.
    peer_address address;
    std::string http;
    zone_id zone;
    region_id region;

    duration probeInterval = std::chrono::milliseconds { 500 };
    duration pingRetryAfter = std::chrono::milliseconds { 200 };
    duration indirectAfter = std::chrono::milliseconds { 400 };
    duration probeTimeout = std::chrono::milliseconds { 900 };
    std::size_t indirectProbes = 3;
    std::size_t furtherProbes = 3; ///< Members that are probed in addition for each one that does not answer its first ping or is suspected by another daemon.
    std::size_t furtherProbesPerSecond = 100; ///< Limit of these probes; twice as many may be sent at once.
    std::size_t pingRequestsPerSecond = 50; ///< Limit of the pings that other members are asked to send.
    duration unresponsiveTime = std::chrono::milliseconds { 2500 }; ///< Time of unanswered probes after which a member counts as unresponsive.
    duration suspicionTimeout = std::chrono::milliseconds { 2000 }; ///< Multiplied by log10 of the region's number of members, but at least by 1.
    duration reprobeInterval = std::chrono::milliseconds { 400 }; ///< Between probes of a suspect.
    duration minReprobeGap = std::chrono::milliseconds { 20 }; ///< Between probes of different suspects, on average.
    int receivedSuspicionFactor = 3; ///< Factor on the suspicion timeout when the suspicion was received, not raised by own probes, and if most members of the region were suspects at the same time.
    duration pauseThreshold = std::chrono::milliseconds { 1000 }; ///< A gap of this length between ticks counts as a pause of this process.

    duration crossRegionInterval = std::chrono::seconds { 2 };
    duration regionTimeout = std::chrono::seconds { 15 }; ///< Time without a datagram after which a region counts as unreachable.
    duration rejoinInterval = std::chrono::seconds { 5 }; ///< Between probes of dead members and unknown seeds.
    duration gossipInterval = std::chrono::milliseconds { 200 };
    std::size_t gossipFanout = 3;
    double crossRegionShare = 0.25; ///< Share of gossip messages sent to other regions.
    double retransmitFactor = 1.5; ///< Each daemon sends an update retransmitFactor * log2(members + 1) times, but at least 3 times.
    duration syncInterval = std::chrono::seconds { 1 };
    duration syncQuietTime = std::chrono::seconds { 2 }; ///< Time without updates before digests are compared, in which updates can propagate.
    duration startSyncTime = std::chrono::seconds { 10 }; ///< Time after the start in which digests are compared every startSyncInterval, without waiting for quiet.
    duration startSyncInterval = std::chrono::milliseconds { 200 };
    std::size_t syncDatagrams = 6; ///< Maximum number of datagrams in one response.
    std::size_t gossipBytesPerSecond = 6000; ///< Limit of gossip and synchronisation sent; probes, loads and registers are exempt.
    std::size_t gossipBurstBytes = 200000; ///< Lets a fleet of some hundred daemons that starts at once exchange all members in seconds.

    duration flapHalfLife = std::chrono::seconds { 60 };
    double flapThreshold = 6; ///< A member with more changes of state (decayed) counts as flapping.
    duration flapHold = std::chrono::seconds { 10 }; ///< Minimum time between updates sent about a flapping member.

    duration recordRetention = std::chrono::seconds { 30 }; ///< Time for which records of dead or left members are kept.
    duration deadRetention = std::chrono::hours { 1 };
    duration recordIntervalPerMember = std::chrono::milliseconds { 500 }; ///< Multiplied by the number of members: minimum time between two versions of a record.

    duration loadInterval = std::chrono::seconds { 2 };
    duration memberLoadLifetime = std::chrono::seconds { 10 };
    duration zoneLoadLifetime = std::chrono::seconds { 20 };

    std::size_t maxMembers = 2000;
    membership_test_switches testSwitches;
};

} // namespace radishflow
