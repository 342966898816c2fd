// Declares the draw of a backend server by the response times of the servers.
#pragma once

#include <cstddef>
#include <cstdint>
#include <span>

namespace radishflow {

/// Returns the index of the server that gets the request, one of at least one.
///
/// Answers the load of many daemons before few servers that do not report their load: no daemon has more than a request there at a time, so
/// its own counts say nothing, and if all took the server that was quickest a moment ago, it would be overrun in its turn. Each server is
/// drawn with a probability in proportion to the time that it would leave until the objective, so shares change gradually with
/// the expected response times, and one that would be late gets little. `delays` and the objective are in seconds, `tieBreak` is a
/// number that differs between requests.
std::size_t drawServer(std::span<const double> delays, double objective, std::uint64_t tieBreak);

} // namespace radishflow
