// Declares table_update, how far a daemon has followed one of the platform's tables.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace radishflow {

/// As of a reading of the store's clock, the newest change of the table.
struct table_update {
    std::chrono::milliseconds storeTime { 0 };
    std::uint64_t lastChangeRevision = 0;

    /// The text that other daemons read.
    std::string text() const { return std::to_string(lastChangeRevision); }
};

/// What one daemon has itself.
struct table_progress {
    table_update news;
    std::uint64_t syncedRevision = 0; ///< All changes up to this revision are known.
};

} // namespace radishflow
