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
    std::uint64_t era = 0; ///< Rises each time the store gives out revisions again.

    /// Returns whether the update contains changes that a copy of the table, synced up to a revision of an era, lacks.
    bool isNewerThan(std::uint64_t copyEra, std::uint64_t syncedRevision) const
    {
        return copyEra < era || (copyEra == era && syncedRevision < lastChangeRevision);
    }

    /// Encodes the update, except for its era and time, as the value of the fleet's register.
    std::string encode() const { return std::to_string(lastChangeRevision); }
};

/// How far this daemon itself has followed a table.
struct table_progress {
    table_update update;
    std::uint64_t syncedRevision = 0; ///< All changes up to and including this revision have been received.
};

} // namespace radishflow
