// Declares server_sample, the metrics that reveal a restart of a backend server's process.
#pragma once

#include <cstdint>
#include <optional>

namespace radishflow {

/// One reading of a server's metrics. A value that the server doesn't report is empty.
struct server_sample {
    std::optional<double> processStart; ///< Unix time in seconds; changes when the process restarts.
    std::optional<std::uint64_t> completed; ///< Number of completed requests; never decreases while the process lives.
};

} // namespace radishflow
