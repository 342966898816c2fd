// Declares load_basis, the load estimates by which a backend server was chosen.
#pragma once

#include "radishflow/Support/monotonic_clock.h"

#include <cstddef>
#include <optional>

namespace radishflow {

struct load_basis {
    double load = 0; ///< Estimated requests of the whole fleet at the server before this one.
    double meanLoad = 0; ///< Estimated mean over all servers of the service.
    std::optional<duration> reportAge; ///< Age of the server's load report; not set if no report is recent.
    std::size_t candidates = 0; ///< Servers that could be chosen.
    std::size_t reportedCandidates = 0; ///< Candidates with a recent load report.
};

} // namespace radishflow
