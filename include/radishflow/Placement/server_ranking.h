// Declares the result of ranking servers.
#pragma once

#include <boost/container/small_vector.hpp>

#include <cstdint>

namespace radishflow {

/// Indices into the ranked span of servers, preferred server first. Up to 16 need no allocation.
using server_ranking = boost::container::small_vector<std::uint32_t, 16>;

} // namespace radishflow
