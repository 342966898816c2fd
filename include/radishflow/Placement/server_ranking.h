// Names the result of ranking: indices of servers, the preferred one first.
#pragma once

#include <boost/container/small_vector.hpp>

#include <cstdint>

namespace radishflow {

/// Indices into the span of servers that was ranked. Up to 16 need no allocation.
using server_ranking = boost::container::small_vector<std::uint32_t, 16>;

} // namespace radishflow
