// Declares what a backend server's metrics say about its process.
#pragma once

#include <cstdint>
#include <optional>

namespace radishflow {

/// One reading of a server's metrics. Values that the server doesn't report are left out.
struct server_sample {
    std::optional<double> processStart; ///< Unix time in seconds; changes when the process is new.
    std::optional<std::uint64_t> completed; ///< Counts up for as long as the process lives.
};

} // namespace radishflow
