// Declares table_news, how far a daemon has followed one of the platform's tables.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace radishflow {

/// As of a reading of the store's clock, the newest change of the table.
struct table_news {
    std::chrono::milliseconds storeTime { 0 };
    std::uint64_t newestChange = 0;

    /// The text that other daemons read.
    std::string text() const { return std::to_string(newestChange); }
};

/// What one daemon has itself.
struct table_progress {
    table_news news;
    std::uint64_t completeTo = 0; ///< All changes up to this revision are known.
};

} // namespace radishflow
