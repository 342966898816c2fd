// Declares table_update and table_progress, which state how far a daemon has followed one of the platform's tables.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace radishflow {

/// The newest change of a table as of one reading of the store's clock.
struct table_update {
    std::chrono::milliseconds storeTime { 0 }; ///< Reading of the store's clock; zero before the first reading.
    std::uint64_t lastChangeRevision = 0; ///< Revision of the newest change of the table.

    /// Encodes the update, except for its time, as the value of the fleet's register.
    std::string encode() const { return std::to_string(lastChangeRevision); }
};

/// How far this daemon itself has followed a table.
struct table_progress {
    table_update update;
    std::uint64_t syncedRevision = 0; ///< All changes up to and including this revision have been received.
};

} // namespace radishflow
