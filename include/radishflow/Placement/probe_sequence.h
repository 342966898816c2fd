// Declares the order in which an entry asks the owners of a chat's servers.
#pragma once

#include "radishflow/Placement/server_ranking.h"
#include "radishflow/Placement/placement_attempt.h"

#include <boost/container/small_vector.hpp>

#include <cstddef>
#include <optional>

namespace radishflow {

struct probe_sequence_options {
    std::size_t affinityRanks = 2; ///< Ranks that are asked for the prefix first.
};

/// Asks the home ranks in turn whether they hold the prefix; when none does, offers the request to those that
/// had room, the least loaded first, and then to the rest of the ranking; such steps name a full holder. Not thread-safe; one a request.
class probe_sequence {
public:
    explicit probe_sequence(server_ranking ranking, probe_sequence_options options = {});

    /// The next attempt; none when all have refused.
    std::optional<placement_attempt> next();

    /// Reports that the last step was refused or its owner could not be reached.
    void refused(const owner_refusal&);

private:
    struct home_offer {
        double load;
        std::uint32_t server;
    };

    server_ranking m_ranking;
    std::size_t m_homes;
    std::size_t m_next = 0; ///< Place in the ranking.
    boost::container::small_vector<home_offer, 4> m_offers; ///< Homes with room, the least loaded last.
    std::optional<std::uint32_t> m_holder; ///< The earliest home that holds the prefix and has no room.
    placement_attempt m_last;
};

} // namespace radishflow
